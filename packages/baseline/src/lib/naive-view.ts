/** Ejects without a floor. */
import type { EffectiveView, EffectiveViewInput } from "@cassiapick/core";

/** Computes the view in which every suspected member is ejected. */
export const computeNaiveView = (input: EffectiveViewInput): EffectiveView => {
    const suspected = new Set(input.suspicions.map(suspicion => suspicion.serverId));
    const ids = input.members.map(member => member.serverId);
    return {
        healthy: ids.filter(serverId => !suspected.has(serverId)),
        keptByFloor: [],
        ejected: ids.filter(serverId => suspected.has(serverId)),
    };
};
