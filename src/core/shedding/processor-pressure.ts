/**
 * Utilization of its processor from which a node reports pressure. Above it, requests wait unread
 * in the sockets of the node, where no queue sees them.
 */
const PRESSURE_UTILIZATION = 0.85;

/**
 * Computes the pressure on the processor of a node.
 *
 * @param utilization - share of the time in which the node handled events, from 0 to 1
 * @returns a pressure from 0, with time to spare, to 1, without any
 */
export function processorPressure(utilization: number): number {
  return Math.max(0, (utilization - PRESSURE_UTILIZATION) / (1 - PRESSURE_UTILIZATION));
}
