//! A client of the chat API that reads the event stream and can resume an interrupted answer.
import { createParser } from "eventsource-parser";

export interface ChatRequest {
  readonly port: number;
  readonly bearerToken: string;
  readonly route: string;
  readonly prompt: string;
  readonly maximumTokens: number;
  readonly resume?: { readonly token: string; readonly tokens: readonly number[] };
  readonly additionalFields?: Readonly<Record<string, unknown>>;
}

/// The result of a request. `isComplete` is true when the stream reached its end marker;
/// `error` is the router's error response or event, or the connection's error.
export interface ChatOutcome {
  readonly status: number;
  readonly tokens: readonly number[];
  readonly resumeToken: string;
  readonly isComplete: boolean;
  readonly error: string | undefined;
}

/// Streams an answer. Calls `onToken` with each token and the number of tokens so far, and
/// `onEvent` with the request's identifier and the number of preceding tokens. Never rejects:
/// a failure of the connection is the outcome's `error`.
export async function chat(
  request: ChatRequest,
  onToken: (token: number, count: number) => void = () => undefined,
  onEvent: (id: string, precedingTokens: number) => void = () => undefined,
): Promise<ChatOutcome> {
  const tokens: number[] = [];
  let status = 0;
  let resumeToken = "";
  let isComplete = false;
  let error: string | undefined;
  const parser = createParser({
    onEvent: (event) => {
      if (event.event === "error") {
        error = event.data;
        return;
      }
      if (event.data === "[DONE]") {
        isComplete = true;
        return;
      }
      const chunk = JSON.parse(event.data) as {
        id: string;
        choices: { delta: { token: number } }[];
      };
      const token = chunk.choices[0]?.delta.token ?? -1;
      tokens.push(token);
      resumeToken = event.id ?? "";
      onEvent(chunk.id, tokens.length - 1);
      onToken(token, tokens.length);
    },
  });
  try {
    const response = await fetch(`http://127.0.0.1:${request.port}/v1/chat/completions`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${request.bearerToken}`,
        "content-type": "application/json",
      },
      body: JSON.stringify({
        model: request.route,
        messages: [{ role: "user", content: request.prompt }],
        max_tokens: request.maximumTokens,
        stream: true,
        ...(request.resume === undefined ? {} : { resume: request.resume }),
        ...request.additionalFields,
      }),
    });
    status = response.status;
    const decoder = new TextDecoder();
    if (response.status !== 200) error = await response.text();
    else if (response.body !== null) {
      for await (const chunk of response.body) parser.feed(decoder.decode(chunk, { stream: true }));
    }
  } catch (cause) {
    error = String(cause);
  }
  return { status, tokens, resumeToken, isComplete, error };
}
