/** Where a job belongs: its home data centre and the shard there. */
export type JobPlace = { dataCentre: string; shard: number };
