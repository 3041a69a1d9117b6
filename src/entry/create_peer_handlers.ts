import type {
  sendUnaryData,
  ServerUnaryCall,
  UntypedServiceImplementation,
} from "@grpc/grpc-js";
import type { JobRequest } from "../decide/job/job_request.ts";
import type { AnswerMessage } from "../peer/answer_message.ts";
import { formatAnswer } from "../peer/format_answer.ts";
import type { EntryContext } from "./entry_context.ts";
import { findJob } from "./find_job.ts";
import { receiveJob } from "./receive_job.ts";
import { stopJob } from "./stop_job.ts";

type SubmitMessage = JobRequest & {
  digest: string;
  waitMs: number;
  hops: number;
};
type LookUpMessage = Parameters<typeof findJob>[1];
type CancelMessage = Parameters<typeof stopJob>[1];

/** Creates the handlers of what other entries ask of this one. */
export function createPeerHandlers(
  context: EntryContext,
): UntypedServiceImplementation {
  return {
    submitJob: createHandler(async (message: SubmitMessage) => {
      const { digest, waitMs, hops, ...request } = message;
      const tasks = request.tasks.map((task) => ({
        ...task,
        declaredMs: task.declaredMs || undefined,
      }));
      const answer = await receiveJob(context, {
        request: { ...request, tasks },
        digest,
        waitMs,
        hops,
      });
      return formatAnswer(answer);
    }),
    lookUpJob: createHandler(async (message: LookUpMessage) => {
      const { answer, record } = await findJob(context, message);
      return formatAnswer(answer, record);
    }),
    cancelJob: createHandler(async (message: CancelMessage) =>
      formatAnswer(await stopJob(context, message))
    ),
  };
}

function createHandler<Message>(
  handle: (message: Message) => Promise<AnswerMessage>,
) {
  return (
    call: ServerUnaryCall<Message, AnswerMessage>,
    done: sendUnaryData<AnswerMessage>,
  ) => {
    handle(call.request).then(
      (reply) => done(null, reply),
      (error) => done(error),
    );
  };
}
