import { createJobKey } from "../decide/job/create_job_key.ts";
import { findShard } from "../decide/own/find_shard.ts";
import type { EntryContext } from "./entry_context.ts";
import type { JobPlace } from "./job_place.ts";

/** Finds where a job belongs by the version in force; undefined for an unknown client. */
export function findJobPlace(
  context: EntryContext,
  job: { client: string; submissionId: string },
): JobPlace | undefined {
  const { configuration } = context.state.version;
  const dataCentre = configuration.clients[job.client]?.homeDataCentre;
  if (dataCentre === undefined) return undefined;
  const key = createJobKey(job.client, job.submissionId);
  const { shards } = configuration.dataCentres[dataCentre];
  return { dataCentre, shard: findShard(key, shards) };
}
