import type { Settings } from "./settings.ts";

/** Finds settings that are each valid but conflict with one another. Returns one message for each conflict. */
export function findSettingsConflicts(settings: Settings): string[] {
  const conflicts: string[] = [];
  const { peerAddress } = settings;
  const other = settings.role === "entry"
    ? { key: "callerAddress", address: settings.callerAddress }
    : { key: "operatorAddress", address: settings.operatorAddress };
  if (other.address === peerAddress && !peerAddress.endsWith(":0")) {
    conflicts.push(
      `peerAddress: ${peerAddress} is also ${other.key}; give each its own port`,
    );
  }
  if (settings.role === "entry") {
    if (settings.stopWithinMs < settings.maxDeadlineMs) {
      conflicts.push(
        `stopWithinMs: ${settings.stopWithinMs} is less than maxDeadlineMs (${settings.maxDeadlineMs}), so a stop could cut jobs off; raise it`,
      );
    }
    if (settings.controlAddress === peerAddress) {
      conflicts.push(
        `controlAddress: ${peerAddress} is also peerAddress; name the control daemon's peerAddress`,
      );
    }
  }
  return conflicts;
}
