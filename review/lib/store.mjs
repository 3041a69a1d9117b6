import { SILENT, startJsonServer } from "./json_server.mjs";

/** Time of a transaction and of a reading call, in ms. */
const CALL_MS = 3;
const PAGE_ROWS = 500;
const MAX_ENTRIES = 100;
const FEED_POLL_MS = 5;

const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Starts a stand-in of the platform's metadata store. */
export async function startStore(record) {
  const rows = new Map();
  const startedMs = performance.now();
  let version = 0;
  const store = {
    /** Every call is answered 503 at once, and nothing is done. */
    isDown: false,
    /** For a transaction: the ms after which it is carried out without an answer, or undefined. */
    findLateMs: () => undefined,
  };
  const formatKey = ({ table, part, key }) => `${table}|${part}|${key}`;
  const describe = () => ({
    ver: version,
    nowMs: Math.round(performance.now() - startedMs),
  });
  const readVer = (row) => (row && !row.deleted ? row.ver : 0);

  function transact({ expectedRev = [], setKeys = [], remove = [] }) {
    if (expectedRev.length + setKeys.length + remove.length > MAX_ENTRIES) {
      return { status: 400 };
    }
    const unmet = expectedRev.filter((entry) =>
      readVer(rows.get(formatKey(entry))) !== entry.ver
    );
    if (unmet.length > 0) {
      const found = unmet.map((entry) => rows.get(formatKey(entry)))
        .filter((row) => row && !row.deleted);
      return { status: 412, body: { rows: found, ...describe() } };
    }
    version += 1;
    for (const row of setKeys) {
      rows.set(formatKey(row), { ...row, ver: version });
    }
    for (const entry of remove) {
      rows.set(formatKey(entry), { ...entry, ver: version, deleted: true });
    }
    return { status: 200, body: describe() };
  }

  function listRows(table) {
    return [...rows.values()].filter((row) => row.table === table);
  }

  function readRows(query) {
    const from = query.get("from") ?? "";
    const to = query.get("to");
    const found = listRows(query.get("table"))
      .filter((row) => !row.deleted && row.key >= from)
      .filter((row) => to === null || row.key < to)
      .sort((one, other) => (one.key < other.key ? -1 : 1));
    const page = found.slice(0, PAGE_ROWS);
    const hasMore = page.length < found.length;
    return { status: 200, body: { rows: page, hasMore, ...describe() } };
  }

  async function readFeed(query) {
    const after = Number(query.get("after"));
    const untilMs = performance.now() + Number(query.get("waitMs"));
    while (true) {
      if (store.isDown) return { status: 503 };
      const changed = listRows(query.get("table"))
        .filter((row) => row.ver > after)
        .sort((one, other) => one.ver - other.ver);
      if (changed.length > 0 || performance.now() > untilMs) {
        return { status: 200, body: { rows: changed, ...describe() } };
      }
      await wait(FEED_POLL_MS);
    }
  }

  const server = await startJsonServer(async ({ url, body }) => {
    if (store.isDown) return { status: 503 };
    if (url.pathname === "/rows-feed") return await readFeed(url.searchParams);
    if (url.pathname === "/rows-tx") {
      const lateMs = store.findLateMs(body);
      if (lateMs !== undefined) {
        const keys = (body.setKeys ?? []).map(({ key }) => key).join(",");
        record(`store: write of ${keys} is not answered`);
        setTimeout(() => {
          const { status } = transact(body);
          record(`store: write of ${keys} is carried out late: ${status}`);
        }, lateMs);
        return SILENT;
      }
    }
    await wait(CALL_MS);
    if (store.isDown) return { status: 503 };
    if (url.pathname === "/rows-get") return readRows(url.searchParams);
    if (url.pathname === "/rows-tx") return transact(body);
    return { status: 404 };
  });

  function put(table, key, value) {
    version += 1;
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    const row = { table, part: "", key, value: text, ver: version };
    rows.set(formatKey(row), row);
  }

  return Object.assign(store, {
    address: server.address,
    put,
    remove: (table, key) => {
      version += 1;
      const row = { table, part: "", key, ver: version, deleted: true };
      rows.set(formatKey(row), row);
    },
    read: (table, key) => {
      const row = rows.get(formatKey({ table, part: "", key }));
      return row && !row.deleted
        ? JSON.parse(Buffer.from(row.value, "base64").toString("utf8"))
        : undefined;
    },
    stop: server.stop,
  });
}
