import type { ScheduledJob } from "../scheduler/scheduled_job.ts";
import type { TableOperation } from "../store/table_operation.ts";
import type { EndRecord } from "./end_record.ts";
import { STORED_JOB_KEYS } from "./stored_job_keys.ts";

/** Creates the operations that store a job's end record and delete its other rows. */
export function encodeEndRecord(job: ScheduledJob): TableOperation[] {
  const { id } = job.order;
  const value: EndRecord = { state: readState(job), endedAtMs: Date.now() };
  return [
    { type: "insert", key: STORED_JOB_KEYS.formatEnd(id), value },
    { type: "delete", key: STORED_JOB_KEYS.formatJob(id) },
    { type: "delete", key: STORED_JOB_KEYS.formatProgress(id) },
    { type: "delete", key: STORED_JOB_KEYS.formatCancel(id) },
  ];
}

function readState({ outcome }: ScheduledJob): EndRecord["state"] {
  if (outcome?.type === "completed") return "completed";
  const isCancelled = outcome?.type === "failed" &&
    outcome.reason === "cancelled";
  return isCancelled ? "cancelled" : "failed";
}
