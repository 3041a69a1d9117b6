/** A job's home data centre and the index of its shard there. */
export type JobLocation = { dataCentre: string; shard: number };
