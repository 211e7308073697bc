/** Finds the state host that is nearest to an availability zone. */
import type { StateHostContact } from "./state-host-selector.js";

/** Distance of a state host: 0 in the same availability zone, 1 in the same region, 2 in another region. */
export const stateHostDistance = (contact: StateHostContact, availabilityZone: string, region: string): number => {
    if (contact.availabilityZone === availabilityZone) {
        return 0;
    }
    return contact.region === region ? 1 : 2;
};

/** Returns the nearest of `contacts`, or `preferred` if none of them is nearer. */
export const nearestStateHost = (
    contacts: readonly StateHostContact[],
    preferred: StateHostContact,
    availabilityZone: string,
    region: string,
): StateHostContact =>
    contacts.reduce(
        (nearest, contact) =>
            stateHostDistance(contact, availabilityZone, region) < stateHostDistance(nearest, availabilityZone, region)
                ? contact
                : nearest,
        preferred,
    );
