import type { StartReply } from "../scheduler/start_reply.ts";

/**
 * Classifies the reply to a start that was sent again because the first copy
 * was not answered. An endpoint starts a run once, however many copies arrive.
 */
export function classifyRepeatedStart(reply: StartReply): StartReply {
  if (reply.type !== "rejected") return reply;
  // The first copy has started the run, which has ended since; the next listing shows how.
  if (reply.reason === "olderRun") return { type: "accepted" };
  // The copies were addressed to a process that does not exist any more.
  if (reply.reason === "otherInstance") return reply;
  // The endpoint may still carry out the first copy.
  return { type: "unanswered" };
}
