/** An effective view without a floor: it may eject every member. */
import type { EffectiveView, EffectiveViewInput } from "@cassiapick/core";

/** Ejects every suspected member, however few remain. */
export const computeNaiveView = (input: EffectiveViewInput): EffectiveView => {
    const suspected = new Set(input.suspicions.map(suspicion => suspicion.serverId));
    const ids = input.members.map(member => member.serverId);
    return {
        healthy: ids.filter(serverId => !suspected.has(serverId)),
        keptByFloor: [],
        ejected: ids.filter(serverId => suspected.has(serverId)),
    };
};
