import loglevel from "loglevel";
import type { LogFields } from "./log_fields.ts";
import type { Logger } from "./logger.ts";
import type { LogLevel } from "./log_level.ts";

/** Creates a logger that writes one JSON line for each event to standard error, with the role and the name of the process. */
export function createLogger(
  role: string,
  options: { name: string; level: LogLevel },
): Logger {
  const log = loglevel.getLogger(`${role}/${options.name}`);
  log.methodFactory = (level) => (event: string, fields?: LogFields) => {
    const line = {
      time: new Date().toISOString(),
      level,
      role,
      name: options.name,
      event,
      ...fields,
    };
    process.stderr.write(JSON.stringify(line) + "\n");
  };
  log.setLevel(options.level, false);
  return {
    debug: (event, fields) => log.debug(event, fields),
    info: (event, fields) => log.info(event, fields),
    warn: (event, fields) => log.warn(event, fields),
    error: (event, fields) => log.error(event, fields),
  };
}
