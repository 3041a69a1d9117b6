import { Hono } from "hono";
import type { Context } from "hono";
import { readJsonBody } from "../http/read_json_body.ts";
import { findOperator } from "../auth/find_operator.ts";
import { isTokenValid } from "../auth/is_token_valid.ts";
import { computeVersionDigest } from "../config/compute_version_digest.ts";
import { ChivegradeError } from "../errors/chivegrade_error.ts";
import { readError } from "../errors/read_error.ts";
import { applyPatch } from "./apply_patch.ts";
import type { ControlContext } from "./control_context.ts";
import { describeControl } from "./describe_control.ts";
import { loadVersions } from "./load_versions.ts";
import { patchRequestSchema } from "./patch_request.ts";
import { readVersion } from "./read_version.ts";

/** Creates the HTTP API for operators: health, status, configuration, versions and patches. */
export function createOperatorApp(context: ControlContext): Hono {
  const app = new Hono();
  app.get("/health", (http) => {
    const ready = context.version > 0;
    return http.json({ ready }, ready ? 200 : 503);
  });
  app.get("/status", (http) => {
    if (!findAuthor(context, http)) return refuseToken(http);
    return http.json(describeControl(context));
  });
  app.get("/configuration", (http) => {
    if (!findAuthor(context, http)) return refuseToken(http);
    const { version, configuration } = context;
    return http.json({ version, configuration: configuration ?? null });
  });
  app.get("/versions", async (http) => {
    if (!findAuthor(context, http)) return refuseToken(http);
    return http.json({ versions: await listVersions(context) });
  });
  app.post(
    "/patches",
    async (http) => {
      const author = findAuthor(context, http);
      if (!author) return refuseToken(http);
      return await receivePatch(context, http, author);
    },
  );
  app.onError((error, http) => sendError(context, http, error));
  return app;
}

async function receivePatch(
  context: ControlContext,
  http: Context,
  author: string,
): Promise<Response> {
  const request = patchRequestSchema.safeParse(await readJsonBody(http));
  if (!request.success) {
    const found = request.error.issues
      .map((issue) => `${issue.path.join(".") || "(body)"}: ${issue.message}`);
    throw new ChivegradeError("patchInvalid", {
      found: `The patch request is not valid: ${found.join("; ")}`,
      remedy: "Correct each named member and send the patch again",
    });
  }
  const { table } = context.platform;
  const outcome = await applyPatch(table, request.data, author);
  context.logger.info("patchDecided", {
    operator: author,
    kind: outcome.type,
    version: outcome.version,
  });
  if (outcome.type === "accepted") await readVersion(context, outcome.version);
  return http.json(outcome, outcome.type === "conflict" ? 409 : 200);
}

/**
 * Finds the operator whose token a request carries. Before the first version
 * only the bootstrap token is accepted, as operator `bootstrap`.
 */
function findAuthor(
  context: ControlContext,
  http: Context,
): string | undefined {
  const header = http.req.header("authorization");
  const { bootstrapTokenDigest } = context.settings;
  if (context.version > 0) return findOperator(context.configuration, header);
  if (bootstrapTokenDigest === undefined) return undefined;
  return isTokenValid(header, bootstrapTokenDigest) ? "bootstrap" : undefined;
}

async function listVersions(context: ControlContext) {
  const { records } = await loadVersions(context.platform.table);
  return records.map((record, index) => {
    const previous = records[index - 1]?.digest ?? record.previousDigest;
    const intact = record.digest === computeVersionDigest(record) &&
      record.previousDigest === previous;
    return { ...record, intact };
  });
}

function refuseToken(http: Context): Response {
  return http.json({
    kind: "tokenInvalid",
    message:
      "The token is no operator's; send 'Authorization: Bearer TOKEN' with the token that the configuration names by its digest",
  }, 401);
}

function sendError(
  context: ControlContext,
  http: Context,
  thrown: unknown,
): Response {
  const error = readError(thrown);
  const kind = error instanceof ChivegradeError ? error.kind : "requestInvalid";
  context.logger.warn("requestFailed", { kind, message: error.message });
  const unavailable = kind === "platformUnavailable";
  return http.json({ kind, message: error.message }, unavailable ? 503 : 422);
}
