//! The stand-in plain service: stock checks, which may be repeated, and bookings,
//! which must not; it counts what it ran.
import { setTimeout as delay } from "node:timers/promises";
import { ok, serveJson, type Answer, type Handler, type RunningServer } from "./json-server.js";

export interface ServiceOptions {
  readonly name: string;
  readonly port: number;
}

/// Starts a service on loopback.
export async function startService(options: ServiceOptions): Promise<RunningServer> {
  const bookings: string[] = [];
  let answerDelay = 0;
  let leaving = false;
  let answersToLose = 0;
  const book = async (
    body: unknown,
    _url: URL,
    request: { socket: { destroy: () => void } },
  ): Promise<Answer> => {
    const { item } = body as { item: string };
    bookings.push(item);
    const number = bookings.length;
    if (answerDelay > 0) await delay(answerDelay);
    if (answersToLose > 0) {
      answersToLose -= 1;
      request.socket.destroy();
    }
    return ok({ booked: item, number, by: options.name });
  };
  return serveJson(
    options.port,
    new Map<string, Handler>([
      ["POST /bookings", book],
      [
        "GET /stock",
        (_body: unknown, url: URL) => ok({ item: url.searchParams.get("item"), left: 7 }),
      ],
      [
        "GET /v1/load",
        () => ok({ queuedTokens: 0, openSequences: 0, tokensPerSecond: 0, leaving }),
      ],
      ["GET /record", () => ok({ bookings })],
      [
        "POST /control",
        (body: unknown) => {
          const wanted = body as {
            answerDelay?: number;
            leaving?: boolean;
            answersToLose?: number;
          };
          answerDelay = wanted.answerDelay ?? answerDelay;
          leaving = wanted.leaving ?? leaving;
          answersToLose = wanted.answersToLose ?? answersToLose;
          return ok({});
        },
      ],
    ]),
  );
}
