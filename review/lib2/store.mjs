import { startJsonServer } from "./json_server.mjs";

const MAX_ENTRIES = 100;
const PAGE_ROWS = 500;
/** Time that a call takes, in ms. */
const CALL_MS = 4;

/**
 * Starts a stand-in of the platform's store: tables of rows, conditional
 * transactions, reads and feeds. `faults.mode` is "up", or how every call is
 * answered while the store is down: "busy" (503), "reset" or "silent".
 * `faults.lostShare` of the writes are done and not answered, `faults.lateShare`
 * of them are done 1 to 6 s later and not answered.
 */
export function startStore() {
  const rows = new Map();
  const faults = { mode: "up" };
  const doors = [];
  const waiting = new Set();
  let version = 0;

  const formatKey = ({ table, part = "", key }) => `${table}|${part}|${key}`;
  const describe = () => ({ ver: version, nowMs: performance.now() });
  const wake = () => {
    for (const resolve of waiting) resolve();
    waiting.clear();
  };

  function transact({ expectedRev = [], setKeys = [], remove = [] }) {
    if (expectedRev.length + setKeys.length + remove.length > MAX_ENTRIES) {
      return { status: 400 };
    }
    const unmet = expectedRev.filter((one) => {
      const row = rows.get(formatKey(one));
      return (row && !row.deleted ? row.ver : 0) !== one.ver;
    });
    if (unmet.length > 0) {
      const found = unmet.map((one) => rows.get(formatKey(one)))
        .filter((row) => row !== undefined && !row.deleted);
      return { status: 412, body: { rows: found, ...describe() } };
    }
    version += 1;
    for (const one of setKeys) {
      rows.set(formatKey(one), { part: "", ...one, ver: version });
    }
    for (const one of remove) {
      const row = { part: "", ...one, ver: version, deleted: true };
      rows.set(formatKey(one), row);
    }
    wake();
    return { status: 200, body: describe() };
  }

  function readRows(query) {
    const limit = Math.min(Number(query.get("limit") ?? PAGE_ROWS), PAGE_ROWS);
    const found = [...rows.values()]
      .filter((row) => row.table === query.get("table") && !row.deleted)
      .filter((row) => row.part === (query.get("part") ?? ""))
      .filter((row) => row.key >= (query.get("from") ?? ""))
      .filter((row) => !query.has("to") || row.key < query.get("to"))
      .sort((one, other) => (one.key < other.key ? -1 : 1));
    const page = found.slice(0, limit);
    const hasMore = page.length < found.length;
    return { status: 200, body: { rows: page, hasMore, ...describe() } };
  }

  async function readFeed(query) {
    const afterVersion = Number(query.get("after"));
    const untilMs = performance.now() + Number(query.get("waitMs") ?? 0);
    while (true) {
      const changed = [...rows.values()]
        .filter((row) =>
          row.table === query.get("table") && row.ver > afterVersion
        )
        .sort((one, other) => one.ver - other.ver);
      const leftMs = untilMs - performance.now();
      if (changed.length > 0 || leftMs <= 0) {
        return { status: 200, body: { rows: changed, ...describe() } };
      }
      await new Promise((resolve) => {
        waiting.add(resolve);
        setTimeout(resolve, leftMs);
      });
    }
  }

  /** Opens an address of the store for one machine, with a fault mode of its own. `mapRow` may change rows that are read there. */
  async function openDoor(mapRow = (row) => row) {
    const own = { mode: "up" };
    const findMode = () => faults.mode === "up" ? own.mode : faults.mode;
    const refuse = () => findMode() === "busy" ? { status: 503 } : findMode();
    const mapRows = (reply) =>
      reply.body?.rows
        ? {
          ...reply,
          body: { ...reply.body, rows: reply.body.rows.map(mapRow) },
        }
        : reply;
    const server = await startJsonServer(async ({ url, body }) => {
      await new Promise((resolve) => setTimeout(resolve, CALL_MS));
      if (findMode() !== "up") return refuse();
      if (url.pathname === "/rows-get") {
        return mapRows(readRows(url.searchParams));
      }
      if (url.pathname === "/rows-tx") {
        const { lostShare = 0, lateShare = 0 } = faults;
        const draw = Math.random();
        if (draw < lateShare) {
          const delayMs = 1_000 + 5_000 * Math.random();
          setTimeout(() => transact(body), delayMs);
          return "silent";
        }
        const reply = transact(body);
        return draw < lateShare + lostShare ? "silent" : reply;
      }
      if (url.pathname !== "/rows-feed") return { status: 404 };
      const reply = await readFeed(url.searchParams);
      return findMode() === "up" ? mapRows(reply) : refuse();
    });
    doors.push(server);
    return { address: server.address, faults: own };
  }

  return {
    faults,
    openDoor,
    put: (table, key, value) => {
      const text = Buffer.from(JSON.stringify(value)).toString("base64");
      transact({ setKeys: [{ table, part: "", key, value: text }] });
    },
    keys: (table) =>
      [...rows.values()].filter((row) => row.table === table && !row.deleted)
        .map(({ key }) => key),
    read: (table, key) => {
      const row = rows.get(formatKey({ table, key }));
      if (!row || row.deleted) return undefined;
      return JSON.parse(Buffer.from(row.value, "base64").toString("utf8"));
    },
    remove: (table, key) => {
      const row = rows.get(formatKey({ table, key }));
      if (row && !row.deleted) transact({ remove: [{ table, key }] });
    },
    stop: () => Promise.all(doors.map((door) => door.stop())),
  };
}
