//! Executes calls of plain services, whose answers are buffered completely before they are
//! sent to the caller. A retryable request is dispatched to another target when one fails;
//! any other request is dispatched again only if the target proved that it did not run.
import { isRetryable } from "@lovagebend/catalog";
import {
  ErrorKind,
  frameReceived,
  RouterError,
  runDetached,
  RunState,
  type Framing,
  type Milliseconds,
} from "@lovagebend/common";
import {
  responseHeaders,
  requestHeaders,
  readBody,
  sendToTarget,
  type ConnectionKind,
} from "@lovagebend/forwarding";
import { RetryPurpose } from "@lovagebend/limits";
import { recordAnswerHead } from "./answer-head.js";
import { chooseReplica } from "./choose-replica.js";
import { createEndError, isOwnEnd } from "./request-end.js";
import type { LimitOutcome } from "./request-limiter.js";
import type { AttemptServices, CallerAnswer, RoutedRequest } from "./routed-request.js";
import type { Target } from "./observed-target.js";
import type { TargetRegistry } from "./target-registry.js";

/// The result of one dispatch to a target. `unknown` means that the target may have run
/// the request.
type DispatchOutcome =
  | {
      readonly kind: "whole";
      readonly status: number;
      readonly rawHeaders: readonly string[];
      readonly framing: Framing;
      readonly body: Buffer;
    }
  | { readonly kind: "notRun"; readonly reason: string; readonly connection: ConnectionKind }
  | { readonly kind: "unknown"; readonly reason: string; readonly connection: ConnectionKind };

/// `limitRetryAfter` is set if some replica is left out for its limit.
type ReplicaChoice =
  | { readonly kind: "chosen"; readonly target: Target }
  | { readonly kind: "none"; readonly limitRetryAfter: Milliseconds | undefined };

// A refusal by a full target costs little. This bound only ends the loop when all targets
// refuse.
const maximumDispatches = 4;
const refusedRetryAfterSeconds = 0.3;
const minimumServerErrorStatus = 500;

/// Executes `request` and sends its result to `answer`. Throws a `RouterError` if no target
/// gave an answer.
export async function answerBuffered(
  request: RoutedRequest,
  answer: CallerAnswer,
  services: AttemptServices,
): Promise<void> {
  const { targetRegistry, targetLinks, budget, clock, logger } = services;
  const { route, service } = request;
  const canRetry = isRetryable(route);
  budget.recordRequest(service.name, clock.monotonicTime());
  const triedTargets = new Set<string>();
  let executions = 0;
  let lastOutcome: DispatchOutcome | undefined;
  // The latest outcome of a dispatch that a target may have run.
  let lastRun: Exclude<DispatchOutcome, { kind: "notRun" }> | undefined;
  let limitRetryAfter: Milliseconds | undefined;
  for (let dispatches = 0; dispatches < maximumDispatches; dispatches += 1) {
    if (request.signal.aborted) throw createEndError(request.signal, executions > 0);
    request.progress.recordWait();
    const choice = await chooseWithinLimits(request, triedTargets, dispatches === 0, services);
    if (choice.kind === "none") {
      limitRetryAfter = choice.limitRetryAfter;
      break;
    }
    const { target } = choice;
    if (
      dispatches > 0 &&
      !budget.trySpend(
        service.name,
        services.entryVmCount(),
        clock.monotonicTime(),
        RetryPurpose.Start,
      )
    ) {
      logger.warn("retry budget exhausted", { request: request.id, service: service.name });
      break;
    }
    triedTargets.add(target.name);
    request.progress.recordOffer(target.name);
    const outcome = await dispatch(request, target, services);
    lastOutcome = outcome;
    if (outcome.kind !== "whole") request.progress.recordFailure(outcome.reason);
    logger.info("offered", {
      request: request.id,
      target: target.name,
      doubtedUntil:
        target.suspectedUntil === -Infinity ? undefined : Math.round(target.suspectedUntil),
      outcome: outcome.kind,
      ...(outcome.kind === "whole"
        ? { status: outcome.status }
        : { reason: outcome.reason, connection: outcome.connection }),
    });
    if (outcome.kind !== "notRun") lastRun = outcome;
    if (outcome.kind === "whole") {
      executions += 1;
      request.progress.recordRun();
      const isServerError = outcome.status >= minimumServerErrorStatus;
      if (!isServerError) targetRegistry.recordSuccess(target.name);
      if (
        isServerError &&
        canRetry &&
        executions < route.maximumAttempts &&
        isTimeLeft(request, services)
      )
        continue;
      deliver(outcome, answer);
      return;
    }
    if (outcome.kind === "notRun") {
      targetRegistry.recordRefusal(target.name);
      if (targetLinks.isLost(service.name)) break;
      continue;
    }
    if (!isOwnEnd(request.signal)) targetRegistry.suspect(target.name, outcome.reason);
    executions += 1;
    request.progress.recordRun();
    if (!canRetry || executions >= route.maximumAttempts) break;
    if (!isTimeLeft(request, services)) break;
  }
  if (lastOutcome === undefined && limitRetryAfter !== undefined)
    throw new RouterError(
      ErrorKind.TargetsLimited,
      RunState.NotRun,
      `Service ${service.name}.`,
      limitRetryAfter / 1_000,
    );
  if (request.signal.aborted) throw createEndError(request.signal, executions > 0);
  if (lastRun?.kind === "whole") {
    deliver(lastRun, answer);
    return;
  }
  throw createError(request, lastRun ?? lastOutcome, services);
}

function deliver(
  { status, rawHeaders, framing, body }: Extract<DispatchOutcome, { kind: "whole" }>,
  answer: CallerAnswer,
): void {
  answer.begin(status, responseHeaders(rawHeaders), framing);
  answer.end(body);
}

// A replica that no request may be sent to is not a candidate for this dispatch.
async function chooseWithinLimits(
  { service }: RoutedRequest,
  triedTargets: ReadonlySet<string>,
  mayUseSuspected: boolean,
  { targetRegistry, requestLimiter, dataCentre, clock }: AttemptServices,
): Promise<ReplicaChoice> {
  const excluded = new Set(triedTargets);
  let limitRetryAfter: Milliseconds | undefined;
  const exclude = (target: Target, outcome: LimitOutcome): void => {
    if (outcome.kind === "allowed") return;
    excluded.add(target.name);
    limitRetryAfter = Math.min(limitRetryAfter ?? Infinity, outcome.retryAfter);
  };
  for (const target of targetRegistry.getStayingTargets(service.name))
    exclude(target, requestLimiter.check(target));
  for (;;) {
    const choose = (targets: readonly Target[]) =>
      chooseReplica(targets, excluded, dataCentre, clock.monotonicTime());
    const target =
      choose(targetRegistry.getServingTargets(service.name)) ??
      (mayUseSuspected ? choose(targetRegistry.getStayingTargets(service.name)) : undefined);
    if (target === undefined) return { kind: "none", limitRetryAfter };
    const outcome = await requestLimiter.acquire(target);
    // The target may have left during the wait.
    if (!targetRegistry.isStaying(target.name, target.born)) continue;
    if (outcome.kind === "allowed") return { kind: "chosen", target };
    exclude(target, outcome);
  }
}

function isTimeLeft(request: RoutedRequest, services: AttemptServices): boolean {
  return services.clock.monotonicTime() < request.deadline;
}

function createError(
  request: RoutedRequest,
  lastOutcome: DispatchOutcome | undefined,
  services: AttemptServices,
): RouterError {
  if (lastOutcome === undefined || lastOutcome.kind === "notRun") {
    const reason = lastOutcome?.reason ?? "the service has no listed target";
    return new RouterError(
      ErrorKind.TargetUnreachable,
      RunState.NotRun,
      reason,
      refusedRetryAfterSeconds,
    );
  }
  const kind = isTimeLeft(request, services) ? ErrorKind.TargetFailed : ErrorKind.DeadlineExceeded;
  return new RouterError(
    kind,
    RunState.Unknown,
    lastOutcome.kind === "unknown" ? lastOutcome.reason : "",
  );
}

async function dispatch(
  request: RoutedRequest,
  target: Target,
  services: AttemptServices,
): Promise<DispatchOutcome> {
  const { targetRegistry, clock, connections, headerNames, crashReporter } = services;
  const sentAt = clock.monotonicTime();
  const remainingTime = request.deadline - sentAt;
  const release = targetRegistry.begin(target.name, 1);
  try {
    const reply = await sendToTarget(
      {
        id: request.id,
        service: request.service.name,
        host: target.host,
        port: target.port,
        method: request.method,
        path: request.path,
        headers: requestHeaders(
          request,
          {
            deadline: remainingTime,
            expectedTarget: target.name,
            workspace: request.workspace,
            priority: request.enginePriority,
          },
          headerNames,
        ),
        body: request.body,
        requiresNewConnection: !isRetryable(request.route),
        isRetryable: isRetryable(request.route),
        timeLeft: remainingTime,
        signal: request.signal,
      },
      connections,
      headerNames,
    );
    const { connection } = reply;
    switch (reply.kind) {
      case "notSent":
        if (!request.signal.aborted) targetRegistry.suspect(target.name, reply.reason);
        await services.targetLinks.check(request.service.name);
        return { kind: "notRun", reason: reply.reason, connection };
      case "unknown":
        return { kind: "unknown", reason: reply.reason, connection };
      case "answered": {
        const { status, message, isNotRun, isDelimited } = reply.response;
        recordAnswerHead(target, reply.response, sentAt, services);
        recordReportedLoad(target.name, message.headers[headerNames.load], targetRegistry);
        message.on("data", () => {
          targetRegistry.recordResponse(target.name);
        });
        const reading = readBody(reply.response, services.answerMemory);
        if (isNotRun) {
          // Its connection can be kept once the rest has arrived, which nobody waits for.
          runDetached(services.logger, "rest of a refusal", reading);
          return { kind: "notRun", reason: `refused with status ${status}`, connection };
        }
        const body = await reading;
        if (body.isErr) return { kind: "unknown", reason: body.error, connection };
        // The end of such an answer looks the same if the target itself has ended.
        if (!isDelimited && (await crashReporter.isKnownToHaveEnded(target))) {
          const reason = "the target ended, and with it the answer without a length";
          return { kind: "unknown", reason, connection };
        }
        const framing = frameReceived(reply.response, message.headers, body.value.length);
        return { kind: "whole", status, rawHeaders: message.rawHeaders, framing, body: body.value };
      }
    }
  } finally {
    release();
  }
}

// The header holds the numbers of running requests, waiting requests and slots, separated
// by commas.
function recordReportedLoad(target: string, header: unknown, targetRegistry: TargetRegistry): void {
  if (typeof header !== "string") return;
  const [running = 0, waiting = 0, slots = 0] = header.split(",").map(Number);
  const load = (running + waiting) / slots;
  if (Number.isFinite(load)) targetRegistry.recordLoad(target, load);
}
