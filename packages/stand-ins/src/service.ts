//! A test double of a plain service with stock checks, which are idempotent, and
//! bookings, which are not. It records every booking, so that tests can detect
//! duplicates.
import { setTimeout as delay } from "node:timers/promises";
import {
  ok,
  serveJson,
  type JsonResponse,
  type Handler,
  type RunningServer,
} from "./json-server.js";

export interface ServiceOptions {
  readonly name: string;
  readonly port: number;
}

/// Starts a service on the loopback interface.
export async function startService(options: ServiceOptions): Promise<RunningServer> {
  const bookings: string[] = [];
  let responseDelayMilliseconds = 0;
  let isLeaving = false;
  let responsesToDrop = 0;
  const handleBooking = async (
    body: unknown,
    _url: URL,
    request: { socket: { destroy: () => void } },
  ): Promise<JsonResponse> => {
    const { item } = body as { item: string };
    bookings.push(item);
    const number = bookings.length;
    if (responseDelayMilliseconds > 0) await delay(responseDelayMilliseconds);
    if (responsesToDrop > 0) {
      responsesToDrop -= 1;
      request.socket.destroy();
    }
    return ok({ booked: item, number, by: options.name });
  };
  return serveJson(
    options.port,
    new Map<string, Handler>([
      ["POST /bookings", handleBooking],
      [
        "GET /stock",
        (_body: unknown, url: URL) => ok({ item: url.searchParams.get("item"), left: 7 }),
      ],
      [
        "GET /v1/load",
        () => ok({ queuedTokens: 0, openSequences: 0, tokensPerSecond: 0, leaving: isLeaving }),
      ],
      ["GET /record", () => ok({ bookings })],
      [
        "POST /control",
        (body: unknown) => {
          const changes = body as {
            answerDelay?: number;
            leaving?: boolean;
            answersToLose?: number;
          };
          responseDelayMilliseconds = changes.answerDelay ?? responseDelayMilliseconds;
          isLeaving = changes.leaving ?? isLeaving;
          responsesToDrop = changes.answersToLose ?? responsesToDrop;
          return ok({});
        },
      ],
    ]),
  );
}
