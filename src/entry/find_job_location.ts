import { createJobKey } from "../decide/job/create_job_key.ts";
import { findShard } from "../decide/own/find_shard.ts";
import type { EntryContext } from "./entry_context.ts";
import type { JobLocation } from "./job_location.ts";

/**
 * Finds a job's home data centre and shard in the current configuration
 * version; undefined for an unknown client.
 */
export function findJobLocation(
  context: EntryContext,
  job: { client: string; submissionId: string },
): JobLocation | undefined {
  const { configuration } = context.state.version;
  const dataCentre = configuration.clients[job.client]?.homeDataCentre;
  if (dataCentre === undefined) return undefined;
  const key = createJobKey(job.client, job.submissionId);
  const { shards } = configuration.dataCentres[dataCentre];
  return { dataCentre, shard: findShard(key, shards) };
}
