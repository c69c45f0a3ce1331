//! The calls to engines that placement needs, and what they return.
import type { LayerRange } from "@lovagebend/catalog";
import type { Result } from "true-myth";

/// The status that an engine reports. `born` identifies the start of its process, `orders` is
/// the number of orders that it has accepted since.
export interface EngineStatus {
  readonly born: number;
  readonly orders: number;
  readonly isBusy: boolean;
  readonly layers: LayerRange | undefined;
}

/// `begun`: the engine is loading the layers or already holds them. `conflict`: the engine
/// has accepted a different number of orders, or its state does not allow the order.
/// `unknown`: no answer arrived, and the order may still take effect.
export type OrderOutcome =
  | { readonly kind: "begun" }
  | { readonly kind: "conflict"; readonly status: number }
  | { readonly kind: "unknown"; readonly reason: string };

/// The calls to engines that placement needs. The methods report failures in their results
/// and never reject.
export interface EngineClient {
  readStatus(engine: string): Promise<Result<EngineStatus, string>>;
  loadLayers(engine: string, layers: LayerRange, expectedOrders: number): Promise<OrderOutcome>;
}
