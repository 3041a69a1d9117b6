import { match } from "ts-pattern";
import type { EntryCommand } from "../decide/entry/entry_command.ts";
import { askOwner } from "./ask_owner.ts";
import type { EntryContext } from "./entry_context.ts";
import { findSender } from "./find_sender.ts";
import { answerFromStore } from "./answer_from_store.ts";
import { startTask } from "./start_task.ts";

/** Executes and removes the commands in the outbox of the entry's state. */
export function runCommands(context: EntryContext): void {
  const commands = context.state.outbox;
  context.state.outbox = [];
  for (const command of commands) runCommand(context, command);
}

function runCommand(context: EntryContext, command: EntryCommand): void {
  match(command)
    .with({ type: "startTask" }, (start) => startTask(context, start))
    .with({ type: "cancelTask" }, ({ endpointId, taskKey }) => {
      context.metrics.increment("task.cancel");
      findSender(context, endpointId)?.cancel(taskKey);
    })
    .with({ type: "answerCaller" }, ({ callerId, answer }) => {
      context.callers.get(callerId)?.(answer);
      context.callers.delete(callerId);
    })
    .with({ type: "askOwner" }, (ask) => {
      askOwner(context, ask);
    })
    .with({ type: "readAnswer" }, (read) => {
      answerFromStore(context, read);
    })
    .exhaustive();
}
