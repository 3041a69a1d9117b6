import { createServer } from "node:net";
import { ChivegradeError } from "../errors/chivegrade_error.ts";
import type { Settings } from "./settings.ts";

/**
 * Checks that this machine can listen on the addresses of a settings file.
 * Throws `addressInUse` with every address that it can't listen on.
 */
export async function checkAddressesFree(
  settings: Settings,
  file: string,
): Promise<void> {
  const addresses = settings.role === "entry"
    ? {
      callerAddress: settings.callerAddress,
      peerAddress: settings.peerAddress,
    }
    : {
      operatorAddress: settings.operatorAddress,
      peerAddress: settings.peerAddress,
    };
  const faults: string[] = [];
  for (const [key, address] of Object.entries(addresses)) {
    const fault = await tryListen(address);
    if (fault) {
      faults.push(`${key}: ${address} can't be listened on (${fault})`);
    }
  }
  if (faults.length === 0) return;
  throw new ChivegradeError("addressInUse", {
    found: `${file}: ${faults.join("; ")}`,
    remedy: "Stop the process that uses it or choose another address",
  });
}

function tryListen(address: string): Promise<string | undefined> {
  const separator = address.lastIndexOf(":");
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", (error) => resolve(error.message));
    server.listen(
      Number(address.slice(separator + 1)),
      address.slice(0, separator),
      () => server.close(() => resolve(undefined)),
    );
  });
}
