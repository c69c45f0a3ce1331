//! A caller of the chat API that reads the event stream and can resume it.
import { createParser } from "eventsource-parser";

export interface ChatRequest {
  readonly port: number;
  readonly token: string;
  readonly route: string;
  readonly prompt: string;
  readonly mostTokens: number;
  readonly resume?: { readonly token: string; readonly tokens: readonly number[] };
  readonly extra?: Readonly<Record<string, unknown>>;
}

/// What came of a request. `ended` is true when the stream was whole; `error` is the
/// router's refusal or the broken connection.
export interface ChatOutcome {
  readonly status: number;
  readonly tokens: readonly number[];
  readonly resumeToken: string;
  readonly ended: boolean;
  readonly error: string | undefined;
}

/// Streams an answer. `onToken` sees each token as it comes, `onEvent` the request's
/// identifier and how many tokens came before. Never throws.
export async function chat(
  request: ChatRequest,
  onToken: (token: number, count: number) => void = () => undefined,
  onEvent: (id: string, before: number) => void = () => undefined,
): Promise<ChatOutcome> {
  const tokens: number[] = [];
  let status = 0;
  let resumeToken = "";
  let ended = false;
  let error: string | undefined;
  const parser = createParser({
    onEvent: (event) => {
      if (event.event === "error") {
        error = event.data;
        return;
      }
      if (event.data === "[DONE]") {
        ended = true;
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
    const answer = await fetch(`http://127.0.0.1:${request.port}/v1/chat/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${request.token}`, "content-type": "application/json" },
      body: JSON.stringify({
        model: request.route,
        messages: [{ role: "user", content: request.prompt }],
        max_tokens: request.mostTokens,
        stream: true,
        ...(request.resume === undefined ? {} : { resume: request.resume }),
        ...request.extra,
      }),
    });
    status = answer.status;
    const decoder = new TextDecoder();
    if (answer.status !== 200) error = await answer.text();
    else if (answer.body !== null) {
      for await (const chunk of answer.body) parser.feed(decoder.decode(chunk, { stream: true }));
    }
  } catch (broken) {
    error = String(broken);
  }
  return { status, tokens, resumeToken, ended, error };
}
