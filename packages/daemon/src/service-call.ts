//! Calls of plain services: `/v1/services/<route>/<path>`. Calls that may be repeated
//! are retried within a budget; the others are claimed first and sent once.
import { claimKey, runAtMostOnce, type Verdict } from "@lovagebend/claims";
import {
  ErrorKind,
  exchange,
  RouterError,
  RunState,
  type ExchangeFailure,
  type ExchangeResponse,
  type Milliseconds,
  readBody,
} from "@lovagebend/common";
import { Priority } from "@lovagebend/limits";
import type { TargetView } from "@lovagebend/membership";
import { chooseService } from "@lovagebend/routing";
import { RouteKind, type ServiceRoute, type SettingsView } from "@lovagebend/settings";
import { createHash } from "node:crypto";
import type http from "node:http";
import { Result } from "true-myth";
import type { CallerRequest, Router } from "./router.js";

const largestBodyBytes = 1024 * 1024;
const largestKeptAnswerBytes = 32 * 1024;
const longestKeyCharacters = 200;
const claimPatience: Milliseconds = 5_000;
const safeMethods = new Set(["GET", "HEAD"]);
const passedHeaders = ["content-type", "content-language", "location", "etag"];

/// A call on its way: what to send, and until when (a monotonic reading).
interface Call {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly deadline: Milliseconds;
}

/// An answer in the form in which a claim keeps it.
interface KeptAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly whole: boolean;
}

/// Serves one call. Throws a `RouterError` when there is no answer of the service.
export async function serviceCall(
  router: Router,
  caller: CallerRequest,
  url: URL,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const begin = router.clock.monotonic();
  const view = router.settings.view;
  const { name, route, path } = findRoute(view, caller, url);
  const raw = await readBody(request, largestBodyBytes);
  if (raw.isErr) throw raw.error;
  const call: Call = {
    service: route.service,
    method: request.method ?? "GET",
    path,
    contentType: request.headers["content-type"] ?? "application/octet-stream",
    body: raw.value,
    deadline: begin + deadlineOf(request, view),
  };
  const admission = await router.admissions.queue(route.service, view).admit(
    {
      workspace: caller.workspace,
      priority: Priority.Interactive,
      cost: 1,
      deadline: call.deadline,
    },
    router.gate.cutSignal,
  );
  if (admission.isErr) throw admission.error;
  router.admissions.ask(route.service, caller.workspace, 1, view);
  try {
    if (route.repeatable || safeMethods.has(call.method)) {
      const answer = await sendRepeatable(router, call);
      response.writeHead(answer.status, passedOn(answer)).end(answer.body);
    } else {
      await sendOnce(router, caller, name, call, request, response);
    }
  } finally {
    admission.value.release();
  }
}

function findRoute(view: SettingsView, caller: CallerRequest, url: URL) {
  const [, , , name = "", ...rest] = url.pathname.split("/");
  const route = view.routes.get(name);
  if (route?.kind !== RouteKind.Service)
    throw new RouterError(ErrorKind.UnknownRoute, RunState.NotRun);
  if (!caller.routes.includes(name)) throw new RouterError(ErrorKind.Forbidden, RunState.NotRun);
  return { name, route: route satisfies ServiceRoute, path: `/${rest.join("/")}${url.search}` };
}

function deadlineOf(request: http.IncomingMessage, view: SettingsView): Milliseconds {
  const asked = Number(request.headers["lovagebend-deadline-milliseconds"] ?? Infinity);
  return Math.min(asked > 0 ? asked : Infinity, view.limits.requestMilliseconds);
}

async function sendRepeatable(router: Router, call: Call): Promise<ExchangeResponse> {
  router.retries.earn();
  const tried = new Set<string>();
  for (;;) {
    const replica = choose(router, call.service, tried);
    if (replica === undefined) {
      throw new RouterError(
        ErrorKind.TargetUnreachable,
        tried.size === 0 ? RunState.NotRun : RunState.Unknown,
        "",
        1,
      );
    }
    tried.add(replica.name);
    const outcome = await dispatch(router, call, replica, false);
    if (outcome.isOk) return outcome.value;
    router.fleet.failed(replica.name);
    if (router.clock.monotonic() >= call.deadline) {
      throw new RouterError(ErrorKind.DeadlineExceeded, RunState.Unknown);
    }
    if (!router.retries.spend()) {
      throw new RouterError(ErrorKind.TargetFailed, RunState.Unknown, outcome.error.reason, 1);
    }
  }
}

/// Sends a call that must not run twice: claim, send once, record the verdict, tell
/// the caller. The verdict is known before the caller is.
async function sendOnce(
  router: Router,
  caller: CallerRequest,
  route: string,
  call: Call,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const own = request.headers["idempotency-key"];
  if (typeof own === "string" && (own === "" || own.length > longestKeyCharacters)) {
    const detail = `An idempotency key has 1 to ${longestKeyCharacters} characters.`;
    throw new RouterError(ErrorKind.MalformedRequest, RunState.NotRun, detail);
  }
  // A key made here is new, so nothing can have run under it.
  const idempotencyKey = typeof own === "string" ? own : router.createId();
  const isFirst = own === undefined || request.headers["lovagebend-first-attempt"] === "true";
  response.setHeader("idempotency-key", idempotencyKey);
  let whole: KeptAnswer | undefined;
  const outcome = await runAtMostOnce(
    router.claims,
    {
      key: claimKey(caller.workspace, idempotencyKey),
      requestDigest: digestOf(route, call),
      deadline: Math.min(call.deadline, router.clock.monotonic() + claimPatience),
      isFirst,
    },
    () =>
      dispatchOnce(router, call, (answer) => {
        whole = answer;
      }),
  );
  router.metrics.increment("claim", 1, { outcome: outcome.isOk ? "ran" : outcome.error.kind });
  if (outcome.isErr) throw outcome.error;
  const { answer, replayed, recorded } = outcome.value;
  router.logger.info("call settled", { request: caller.id, replayed, recorded });
  if (replayed) response.setHeader("lovagebend-replayed", "true");
  send(response, whole ?? (answer as KeptAnswer));
}

function digestOf(route: string, call: Call): string {
  return createHash("sha256")
    .update(JSON.stringify([route, call.method, call.path]))
    .update(call.body)
    .digest("hex");
}

// Another replica is tried only when no connection to the one before came about.
async function dispatchOnce(
  router: Router,
  call: Call,
  onAnswer: (answer: KeptAnswer) => void,
): Promise<Verdict> {
  const tried = new Set<string>();
  for (;;) {
    if (router.clock.monotonic() >= call.deadline) return { kind: "notRun" };
    const replica = choose(router, call.service, tried);
    if (replica === undefined) return { kind: "notRun" };
    tried.add(replica.name);
    const outcome = await dispatch(router, call, replica, true);
    if (outcome.isOk) {
      const answer = kept(outcome.value);
      onAnswer(answer);
      return { kind: "ran", answer: bounded(answer) };
    }
    router.fleet.failed(replica.name);
    if (outcome.error.kind !== "notSent") return { kind: "unknown" };
  }
}

async function dispatch(
  router: Router,
  call: Call,
  replica: TargetView,
  freshConnection: boolean,
): Promise<Result<ExchangeResponse, ExchangeFailure>> {
  const target = router.settings.view.targets.get(replica.name);
  if (target === undefined) return Result.err({ kind: "notSent", reason: "removed" });
  router.fleet.noteOpen(replica.name, 1);
  const outcome = await exchange({
    url: { host: target.host, port: target.port, path: call.path },
    method: call.method,
    body: call.body.length === 0 ? undefined : call.body,
    headers: { "content-type": call.contentType },
    timeout: Math.max(1, call.deadline - router.clock.monotonic()),
    freshConnection,
  });
  router.fleet.noteOpen(replica.name, -1);
  return outcome;
}

function choose(
  router: Router,
  service: string,
  tried: ReadonlySet<string>,
): TargetView | undefined {
  const serving = router.fleet.view.serving(service).filter((target) => !tried.has(target.name));
  return chooseService(serving, router.dataCentre);
}

// A long answer reaches its own caller, but is recorded without its body.
function bounded(answer: KeptAnswer): KeptAnswer {
  if (answer.body.length <= largestKeptAnswerBytes) return answer;
  return { ...answer, body: "", whole: false };
}

function kept(answer: ExchangeResponse): KeptAnswer {
  return {
    status: answer.status,
    headers: passedOn(answer),
    body: answer.body.toString("base64"),
    whole: true,
  };
}

function passedOn(answer: ExchangeResponse): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const name of passedHeaders) {
    const value = answer.headers[name];
    if (typeof value === "string") headers[name] = value;
  }
  return headers;
}

function send(response: http.ServerResponse, answer: KeptAnswer): void {
  if (!answer.whole) response.setHeader("lovagebend-body", "not kept");
  response.writeHead(answer.status, answer.headers).end(Buffer.from(answer.body, "base64"));
}
