import { startJsonServer } from "./start_json_server.ts";

type Row = {
  table: string;
  part: string;
  key: string;
  value?: string;
  ver: number;
  deleted?: boolean;
};
type Place = { table: string; part: string; key: string };

/** What a test makes the store do. */
type Faults = {
  /** Every call is turned away with this status. */
  status?: number;
  /** No call is answered. */
  isSilent: boolean;
  /** Writes are done and not answered. */
  losesAnswers: boolean;
  /** Histories before this version are dropped. */
  keptFrom: number;
  /** Rows of a page of a reading. */
  pageRows: number;
  /** Called after each page that is not the last. */
  afterPage?: () => void;
};

type Door = {
  address: string;
  /** While closed, every call through it is answered 503. */
  state: { isClosed: boolean };
};

/** Entries that one transaction may have, of all lists together. */
const MOST_ENTRIES = 100;
/** Rows that one page of a reading may have. */
const MOST_PAGE_ROWS = 500;
/** How often a waiting feed looks for changes, in ms. */
const LOOK_MS = 5;

/** Starts a stand-in of the platform's store: rows in tables, transactions under conditions, feeds of changes. */
export async function startStore(): Promise<{
  address: string;
  faults: Faults;
  put(table: string, key: string, value: unknown): void;
  remove(table: string, key: string): void;
  read(table: string, key: string): unknown;
  /** Opens another address of the store, for one caller. */
  openDoor(): Promise<Door>;
  stop(): Promise<void>;
}> {
  const rows = new Map<string, Row>();
  const faults: Faults = {
    isSilent: false,
    losesAnswers: false,
    keptFrom: 0,
    pageRows: MOST_PAGE_ROWS,
  };
  let version = 0;
  const nameRow = ({ table, part, key }: Place) => `${table}|${part}|${key}`;
  const describeNow = () => ({ ver: version, nowMs: performance.now() });

  function transact(body: unknown) {
    const { expectedRev = [], setKeys = [], remove = [] } = body as {
      expectedRev?: (Place & { ver: number })[];
      setKeys?: (Place & { value: string })[];
      remove?: Place[];
    };
    const entries = expectedRev.length + setKeys.length + remove.length;
    if (entries > MOST_ENTRIES) return { status: 400 };
    const wrong = expectedRev.filter((place) => {
      const row = rows.get(nameRow(place));
      const found = row && !row.deleted ? row.ver : 0;
      return found !== place.ver;
    });
    if (wrong.length > 0) {
      const found = wrong.map((place) => rows.get(nameRow(place)))
        .filter((row) => row !== undefined);
      return { status: 412, body: { rows: found, ...describeNow() } };
    }
    version += 1;
    for (const row of setKeys) {
      rows.set(nameRow(row), { ...row, ver: version });
    }
    for (const place of remove) {
      rows.set(nameRow(place), { ...place, ver: version, deleted: true });
    }
    return { status: 200, body: describeNow() };
  }

  function readRows(query: URLSearchParams) {
    const found = [...rows.values()]
      .filter((row) => row.table === query.get("table") && !row.deleted)
      .filter((row) => row.key >= (query.get("from") ?? ""))
      .filter((row) => row.key < (query.get("to") ?? "\uffff"))
      .sort((one, other) => (one.key < other.key ? -1 : 1));
    const page = found.slice(0, faults.pageRows);
    const hasMore = page.length < found.length;
    const reply = {
      status: 200,
      body: { rows: page, hasMore, ...describeNow() },
    };
    if (hasMore) faults.afterPage?.();
    return reply;
  }

  async function readFeed(query: URLSearchParams) {
    const after = Number(query.get("after"));
    const untilMs = performance.now() + Number(query.get("waitMs"));
    if (after < faults.keptFrom) return { status: 410, body: {} };
    while (true) {
      const changed = [...rows.values()]
        .filter((row) => row.table === query.get("table") && row.ver > after)
        .sort((one, other) => one.ver - other.ver);
      if (changed.length > 0 || performance.now() > untilMs) {
        return { status: 200, body: { rows: changed, ...describeNow() } };
      }
      await new Promise((resolve) => setTimeout(resolve, LOOK_MS));
    }
  }

  const doors: { stop(): Promise<void> }[] = [];

  /** Another address of the same store, which can be closed by itself. */
  async function openDoor(): Promise<Door> {
    const state = { isClosed: false };
    const door = await startJsonServer(async (request) => {
      if (state.isClosed) return { status: 503 };
      const reply = await answer(request);
      return state.isClosed ? { status: 503 } : reply;
    });
    doors.push(door);
    return { address: door.address, state };
  }

  const answer: Parameters<typeof startJsonServer>[0] = ({ url, body }) => {
    if (faults.isSilent) return "silent";
    if (faults.status) return { status: faults.status };
    if (url.pathname === "/rows-get") return readRows(url.searchParams);
    if (url.pathname === "/rows-feed") return readFeed(url.searchParams);
    const reply = transact(body);
    return faults.losesAnswers ? "silent" : reply;
  };
  const server = await startJsonServer(answer);

  return {
    address: server.address,
    faults,
    put: (table, key, value) => {
      version += 1;
      const text = typeof value === "string" ? value : JSON.stringify(value);
      rows.set(`${table}||${key}`, {
        table,
        part: "",
        key,
        value: Buffer.from(text).toString("base64"),
        ver: version,
      });
    },
    remove: (table, key) => {
      version += 1;
      rows.set(`${table}||${key}`, {
        table,
        part: "",
        key,
        ver: version,
        deleted: true,
      });
    },
    read: (table, key) => {
      const value = rows.get(`${table}||${key}`)?.value;
      return value === undefined
        ? undefined
        : JSON.parse(Buffer.from(value, "base64").toString("utf8"));
    },
    openDoor,
    stop: async () => {
      for (const door of doors) await door.stop();
      await server.stop();
    },
  };
}
