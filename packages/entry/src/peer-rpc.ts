//! JSON-RPC calls between entry VMs: the methods that this one offers, and calls of others.
import {
  exchangeJson,
  parseJsonText,
  validate,
  type Logger,
  type Milliseconds,
} from "@lovagebend/common";
import {
  createJSONRPCErrorResponse,
  JSONRPCClient,
  JSONRPCErrorCode,
  JSONRPCErrorException,
  JSONRPCServer,
  type JSONRPCResponse,
} from "json-rpc-2.0";
import * as z from "zod";

const defaultTimeout: Milliseconds = 400;
/// Several times the size of the operator's document and all target entries together.
export const maximumPeerMessageBytes = 8 * 1024 * 1024;
const methodNotFound: number = JSONRPCErrorCode.MethodNotFound;
const callSchema = z.looseObject({
  jsonrpc: z.literal("2.0"),
  method: z.string(),
  id: z.union([z.string(), z.number(), z.null()]).optional(),
});

export class PeerRpc {
  private readonly server = new JSONRPCServer({
    errorListener: (message, data) => {
      this.logger.warn("call of a peer failed", { reason: message, detail: String(data) });
    },
  });

  constructor(private readonly logger: Logger) {}

  /// Registers the handler for calls of `method` by peers.
  registerMethod(method: string, handler: (parameters: unknown) => unknown): void {
    this.server.addMethod(method, handler);
  }

  /// Handles a JSON-RPC call from a peer and returns the JSON-RPC reply.
  async receive(body: string): Promise<JSONRPCResponse | null> {
    const call = validate(callSchema, parseJsonText(body).unwrapOr(undefined));
    if (call.isErr) return createJSONRPCErrorResponse(null, JSONRPCErrorCode.InvalidRequest, "");
    return this.server.receive({ ...call.value, id: call.value.id ?? null });
  }

  /// Calls `method` of the peer at `address`. Returns `undefined` if it fails, and logs this unless
  /// `signal` has aborted; `null` if the peer has answered that it doesn't know the method, as one of
  /// an older version does.
  async call(
    address: string,
    method: string,
    parameters: object,
    signal: AbortSignal,
  ): Promise<unknown> {
    try {
      return await this.request(address, method, parameters, signal);
    } catch (error) {
      if (error instanceof JSONRPCErrorException && error.code === methodNotFound) return null;
      if (!signal.aborted)
        this.logger.info("call to peer failed", { peer: address, method, reason: String(error) });
      return undefined;
    }
  }

  /// Calls `method` of the peer at `address`. Rejects if it fails.
  async request(
    address: string,
    method: string,
    parameters: object,
    signal: AbortSignal,
    timeout = defaultTimeout,
  ): Promise<unknown> {
    const client = new JSONRPCClient(async (payload) => {
      const reply = await exchangeJson({
        url: `http://${address}/`,
        method: "POST",
        body: payload,
        timeout,
        maximumResponseBytes: maximumPeerMessageBytes,
        signal,
      });
      if (reply.isErr) throw new Error(reply.error.reason);
      client.receive(reply.value.body as JSONRPCResponse);
    });
    return (await client.request(method, parameters)) as unknown;
  }
}
