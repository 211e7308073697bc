/** The state host that is nearest to a place. */
import type { StateContact } from "./attachment.js";

/** How far a state host is: 0 in the availability zone, 1 in the region, 2 elsewhere. */
export const distanceTo = (contact: StateContact, availabilityZone: string, region: string): number => {
    if (contact.availabilityZone === availabilityZone) {
        return 0;
    }
    return contact.region === region ? 1 : 2;
};

/** The nearest of `contacts`; `preferred` where none is nearer than it. */
export const nearestContact = (
    contacts: readonly StateContact[],
    preferred: StateContact,
    availabilityZone: string,
    region: string,
): StateContact =>
    contacts.reduce(
        (best, contact) =>
            distanceTo(contact, availabilityZone, region) < distanceTo(best, availabilityZone, region) ? contact : best,
        preferred,
    );
