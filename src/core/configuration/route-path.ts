/** Wildcard segment of a route; it matches any one segment. */
export const WILDCARD_SEGMENT = '*';

/**
 * Splits a path into its segments.
 *
 * @param path - path that begins with a slash, with or without a query
 * @returns the segments; `/` has one empty segment
 */
export function pathSegments(path: string): readonly string[] {
  const query = path.indexOf('?');
  return (query < 0 ? path : path.slice(0, query)).slice(1).split('/');
}

/**
 * Counts the segments that are not wildcards.
 *
 * @param segments - segments of a route
 * @returns the number of literal segments
 */
export function countLiterals(segments: readonly string[]): number {
  return segments.filter((segment) => segment !== WILDCARD_SEGMENT).length;
}

/**
 * Checks whether any path matches both of two routes.
 *
 * @param left - segments of one route
 * @param right - segments of the other route, of the same number
 * @returns true when the routes overlap
 */
export function hasOverlap(left: readonly string[], right: readonly string[]): boolean {
  return left.every((segment, index) => {
    const other = right[index];
    return segment === other || segment === WILDCARD_SEGMENT || other === WILDCARD_SEGMENT;
  });
}

/**
 * Checks whether the wildcard may match a segment of a request. Backend servers resolve dot
 * segments, with or without percent-encoding, so such a request would reach a path that its route
 * does not cover.
 *
 * @param segment - segment as it appears in the request
 * @returns false for an empty segment and for one that contains a dot segment
 */
export function isPlainSegment(segment: string): boolean {
  const decoded = segment
    .replace(/%2e/gi, '.')
    .replace(/%2f/gi, '/')
    .replace(/%5c/gi, '\\')
    .split(/[/\\]/);
  return segment !== '' && !decoded.some((part) => part === '.' || part === '..');
}
