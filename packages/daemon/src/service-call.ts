//! Forwards calls to services: `/v1/services/<route>/<path>`. Repeatable calls are retried
//! within the retry budget. Other calls run at most once: a claim is recorded before the
//! call is sent.
import { claimKey, runAtMostOnce, type Verdict } from "@lovagebend/claims";
import {
  ErrorKind,
  exchange,
  frameReceived,
  RouterError,
  RunState,
  type ExchangeFailure,
  type ExchangeResponse,
  type Framing,
  type Milliseconds,
  readBody,
  writeFramedHead,
} from "@lovagebend/common";
import { Priority } from "@lovagebend/limits";
import type { TargetView } from "@lovagebend/membership";
import { chooseService } from "@lovagebend/routing";
import { RouteKind, type ServiceRoute, type SettingsView } from "@lovagebend/settings";
import { createHash } from "node:crypto";
import type http from "node:http";
import { Result } from "true-myth";
import type { CallerRequest, Router } from "./router.js";

const maximumBodyBytes = 1024 * 1024;
const maximumStoredBodyBytes = 32 * 1024;
const maximumKeyCharacters = 200;
const claimTimeout: Milliseconds = 5_000;
const safeMethods = new Set(["GET", "HEAD"]);
const forwardedHeaders = ["content-type", "content-language", "location", "etag"];

/// A call to forward. `deadline` is a reading of the monotonic clock.
interface ServiceCall {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly deadline: Milliseconds;
}

/// An answer in the form that is stored with its claim. `body` is in base64. `whole` is
/// `false` if the body was too large to store. `framing` is that of `body`; earlier versions did not store
/// whether the service had marked the end of its answer.
interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly whole: boolean;
  readonly framing?: Framing;
}

/// Handles one call. Throws a `RouterError` if the service gives no answer.
export async function handleServiceCall(
  router: Router,
  caller: CallerRequest,
  url: URL,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const startedAt = router.clock.monotonicTime();
  const view = router.settings.view;
  const { name, route, path } = findRoute(view, caller, url);
  const body = await readBody(request, maximumBodyBytes);
  if (body.isErr) throw body.error;
  await router.turns.wait(response);
  const call: ServiceCall = {
    service: route.service,
    method: request.method ?? "GET",
    path,
    contentType: request.headers["content-type"] ?? "application/octet-stream",
    body: body.value,
    deadline: startedAt + resolveTimeLimit(request, view),
  };
  if (router.clock.monotonicTime() >= call.deadline) {
    const run = isFirstAttempt(request) ? RunState.NotRun : RunState.Unknown;
    throw new RouterError(ErrorKind.DeadlineExceeded, run);
  }
  const admission = await router.admissions.queue(route.service, view).admit(
    {
      workspace: caller.workspace,
      priority: Priority.Interactive,
      cost: 1,
      deadline: call.deadline,
    },
    router.gate.abortSignal,
  );
  if (admission.isErr) throw admission.error;
  router.admissions.recordDemand(route.service, caller.workspace, 1, view);
  try {
    if (route.repeatable || safeMethods.has(call.method)) {
      const answer = await sendWithRetries(router, call);
      const framing = frameReceived(answer, answer.headers, answer.body.length);
      writeFramedHead(response, answer.status, selectForwardedHeaders(answer), framing);
      response.end(answer.body);
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

function resolveTimeLimit(request: http.IncomingMessage, view: SettingsView): Milliseconds {
  const requested = Number(request.headers["lovagebend-deadline-milliseconds"] ?? Infinity);
  return Math.min(requested > 0 ? requested : Infinity, view.limits.requestMilliseconds);
}

async function sendWithRetries(router: Router, call: ServiceCall): Promise<ExchangeResponse> {
  router.retryBudget.recordFirstAttempt();
  const triedReplicas = new Set<string>();
  for (;;) {
    const replica = chooseReplica(router, call.service, triedReplicas);
    if (replica === undefined) {
      throw new RouterError(
        ErrorKind.TargetUnreachable,
        triedReplicas.size === 0 ? RunState.NotRun : RunState.Unknown,
        "",
        1,
      );
    }
    triedReplicas.add(replica.name);
    const outcome = await sendToReplica(router, call, replica, false);
    if (outcome.isOk) return outcome.value;
    router.fleet.recordFailure(replica.name);
    if (router.clock.monotonicTime() >= call.deadline) {
      throw new RouterError(ErrorKind.DeadlineExceeded, RunState.Unknown);
    }
    if (!router.retryBudget.trySpend()) {
      throw new RouterError(ErrorKind.TargetFailed, RunState.Unknown, outcome.error.reason, 1);
    }
  }
}

/// Sends a call that must not run twice: claims its key, sends it once, records the verdict
/// and then answers the caller. A verdict that the store has not confirmed by then is
/// recorded later.
async function sendOnce(
  router: Router,
  caller: CallerRequest,
  route: string,
  call: ServiceCall,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const callerKey = request.headers["idempotency-key"];
  if (
    typeof callerKey === "string" &&
    (callerKey === "" || callerKey.length > maximumKeyCharacters)
  ) {
    const detail = `An idempotency key has 1 to ${maximumKeyCharacters} characters.`;
    throw new RouterError(ErrorKind.MalformedRequest, RunState.NotRun, detail);
  }
  // A generated key is new, so no earlier attempt can have run with it.
  const idempotencyKey = typeof callerKey === "string" ? callerKey : router.createId();
  response.setHeader("idempotency-key", idempotencyKey);
  let fullAnswer: StoredAnswer | undefined;
  const outcome = await runAtMostOnce(
    router.claims,
    {
      key: claimKey(caller.workspace, idempotencyKey),
      requestDigest: digestRequest(route, call),
      deadline: Math.min(call.deadline, router.clock.monotonicTime() + claimTimeout),
      isFirstAttempt: isFirstAttempt(request),
    },
    () =>
      sendToReachableReplica(router, call, (answer) => {
        fullAnswer = answer;
      }),
  );
  router.metrics.increment("claim", 1, { outcome: outcome.isOk ? "ran" : outcome.error.kind });
  if (outcome.isErr) throw outcome.error;
  const { answer, isReplayed, isRecorded } = outcome.value;
  router.logger.info("at-most-once call completed", {
    request: caller.id,
    replayed: isReplayed,
    recorded: isRecorded,
  });
  if (isReplayed) response.setHeader("lovagebend-replayed", "true");
  sendStoredAnswer(response, fullAnswer ?? (answer as StoredAnswer));
}

// Whether no earlier attempt can have run under the key, by the caller's word if it has named one.
function isFirstAttempt({ headers }: http.IncomingMessage): boolean {
  return headers["idempotency-key"] === undefined || headers["lovagebend-first-attempt"] === "true";
}

function digestRequest(route: string, call: ServiceCall): string {
  return createHash("sha256")
    .update(JSON.stringify([route, call.method, call.path]))
    .update(call.body)
    .digest("hex");
}

// The next replica is tried only if no connection to the previous one was established, since
// otherwise the call may have run there.
async function sendToReachableReplica(
  router: Router,
  call: ServiceCall,
  onAnswer: (answer: StoredAnswer) => void,
): Promise<Verdict> {
  const triedReplicas = new Set<string>();
  for (;;) {
    if (router.clock.monotonicTime() >= call.deadline) return { kind: "notRun" };
    const replica = chooseReplica(router, call.service, triedReplicas);
    if (replica === undefined) return { kind: "notRun" };
    triedReplicas.add(replica.name);
    const outcome = await sendToReplica(router, call, replica, true);
    if (outcome.isOk) {
      const answer = createStoredAnswer(outcome.value, true);
      onAnswer(answer);
      // A long answer is sent to its caller, but stored without its body.
      const isKept = answer.body.length <= maximumStoredBodyBytes;
      return { kind: "ran", answer: isKept ? answer : createStoredAnswer(outcome.value, false) };
    }
    router.fleet.recordFailure(replica.name);
    if (outcome.error.kind !== "notSent") return { kind: "unknown" };
  }
}

async function sendToReplica(
  router: Router,
  call: ServiceCall,
  replica: TargetView,
  requiresNewConnection: boolean,
): Promise<Result<ExchangeResponse, ExchangeFailure>> {
  const target = router.settings.view.targets.get(replica.name);
  if (target === undefined)
    return Result.err({ kind: "notSent", reason: "removed", isRefused: false });
  router.fleet.adjustOpenAnswers(replica.name, 1);
  const outcome = await exchange({
    url: { host: target.host, port: target.port, path: call.path },
    method: call.method,
    body: call.body.length === 0 ? undefined : call.body,
    headers: { "content-type": call.contentType },
    timeout: Math.max(1, call.deadline - router.clock.monotonicTime()),
    requiresNewConnection,
  });
  router.fleet.adjustOpenAnswers(replica.name, -1);
  return outcome;
}

function chooseReplica(
  router: Router,
  service: string,
  triedReplicas: ReadonlySet<string>,
): TargetView | undefined {
  const servingTargets = router.fleet.view
    .getServingTargets(service)
    .filter((target) => !triedReplicas.has(target.name));
  return chooseService(servingTargets, router.dataCentre);
}

function createStoredAnswer(answer: ExchangeResponse, whole: boolean): StoredAnswer {
  const body = whole ? answer.body : Buffer.alloc(0);
  return {
    status: answer.status,
    headers: selectForwardedHeaders(answer),
    body: body.toString("base64"),
    whole,
    framing: frameReceived(answer, answer.headers, body.length),
  };
}

function selectForwardedHeaders(answer: ExchangeResponse): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const name of forwardedHeaders) {
    const value = answer.headers[name];
    if (typeof value === "string") headers[name] = value;
  }
  return headers;
}

function sendStoredAnswer(response: http.ServerResponse, answer: StoredAnswer): void {
  if (!answer.whole) response.setHeader("lovagebend-body", "not kept");
  const body = Buffer.from(answer.body, "base64");
  const framing = answer.framing ?? { kind: "unmarked", bytes: body.length };
  writeFramedHead(response, answer.status, answer.headers, framing);
  response.end(body);
}
