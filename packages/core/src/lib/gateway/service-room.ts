/** Summarizes the room at the servers of a service, as far as an entry host knows it. */
import type { ServiceRoom } from "../admission/admission-request.js";
import type { PoolMember } from "./pool-member.js";

/** A server that is likelier than this to be unhealthy is no room: it looks free because it fails requests early. */
const maxFailureProbability = 0.5;

/**
 * Returns the room at `members`, which take requests. The load of other availability zones is unknown but for the requests of the
 * own zone, so they are assumed to be as full as the own zone, at most with all slots in use. What they send to a full own zone is
 * unknown too.
 */
export const serviceRoom = (
    members: readonly PoolMember[],
    availabilityZone: string,
    failureProbability: (member: PoolMember) => number,
): ServiceRoom => {
    const healthy = members.filter(member => failureProbability(member) <= maxFailureProbability);
    const counted = healthy.length > 0 ? healthy : members;
    const loadOf = ({ ownInFlight, otherHostsInFlight }: PoolMember): number => ownInFlight + otherHostsInFlight;
    const ownZone = counted.filter(({ record }) => record.availabilityZone === availabilityZone);
    const sum = (chosen: readonly PoolMember[], amount: (member: PoolMember) => number): number =>
        chosen.reduce((total, member) => total + amount(member), 0);
    const slots = sum(counted, ({ record }) => record.slots);
    const ownZoneSlots = sum(ownZone, ({ record }) => record.slots);
    const ownZoneLoad = sum(ownZone, loadOf);
    const fullness = ownZoneSlots === 0 ? 0 : Math.min(1, ownZoneLoad / ownZoneSlots);
    // Other zones send here about what this zone sends there.
    const incoming = ownZone.length === 0 ? 0 : (sum(counted, loadOf) - ownZoneLoad) / ownZone.length;
    let excess = Infinity;
    for (const member of counted) {
        const isOwnZone = member.record.availabilityZone === availabilityZone;
        const assumedLoad = isOwnZone ? incoming : fullness * member.record.slots;
        excess = Math.min(excess, loadOf(member) + assumedLoad - member.record.slots);
    }
    return { slots, slotsPerServer: counted.length === 0 ? 0 : slots / counted.length, excess };
};
