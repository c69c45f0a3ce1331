//! Reads the resource usage of processes and the loopback interface from Linux's `/proc`.
import { readFileSync } from "node:fs";

const clockTicksPerSecond = 100;
const bytesPerKilobyte = 1_024;

/// Returns the user and system CPU time of a process in seconds.
export function readCpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond;
}

/// Returns the resident set size of a process in bytes, or 0 when its status lists none.
export function readResidentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) * bytesPerKilobyte;
}

/// Returns the bytes received on the loopback interface since boot.
export function readLoopbackBytes(): number {
  const line = readFileSync("/proc/net/dev", "utf8")
    .split("\n")
    .find((text) => text.trim().startsWith("lo:"));
  return Number(line?.trim().split(/\s+/)[1] ?? 0);
}
