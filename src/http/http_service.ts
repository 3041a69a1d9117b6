import type { Hono } from "hono";
import type { HttpRefusal } from "./http_refusal.ts";

/** What an HTTP server serves. */
export type HttpService = {
  app: Hono;
  /** Largest body of a request, in bytes; undefined while no request is served, so that bodies are not received. */
  readMaxBodyBytes(): number | undefined;
  /** Formats the body of the answer to a request that is refused; it is sent as JSON. */
  formatRefusal(refusal: HttpRefusal): object;
};
