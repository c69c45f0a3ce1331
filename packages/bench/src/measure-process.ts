//! What processes use, as the kernel counts it.
import { readFileSync } from "node:fs";

const ticksPerSecond = 100;
const bytesPerKilobyte = 1_024;

/// Seconds of processor time that a process has used, user and system.
export function cpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond;
}

/// Resident memory of a process in bytes.
export function residentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) * bytesPerKilobyte;
}

/// Bytes that crossed the loopback interface so far.
export function loopbackBytes(): number {
  const line = readFileSync("/proc/net/dev", "utf8")
    .split("\n")
    .find((text) => text.trim().startsWith("lo:"));
  return Number(line?.trim().split(/\s+/)[1] ?? 0);
}
