/** Segment of a route that stands for any one segment. */
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
 * Counts the segments that stand for themselves.
 *
 * @param segments - segments of a route
 * @returns the number of literal segments
 */
export function countLiterals(segments: readonly string[]): number {
  return segments.filter((segment) => segment !== WILDCARD_SEGMENT).length;
}

/**
 * Tells whether some path matches two routes.
 *
 * @param left - segments of the one route
 * @param right - as many segments of the other route
 * @returns whether the routes overlap
 */
export function hasOverlap(left: readonly string[], right: readonly string[]): boolean {
  return left.every((segment, index) => {
    const other = right[index];
    return segment === other || segment === WILDCARD_SEGMENT || other === WILDCARD_SEGMENT;
  });
}

/**
 * Tells whether a segment of a request may stand for `*`. Backend servers resolve dot segments,
 * with or without percent-encoding, so such a request would reach another path than its route's.
 *
 * @param segment - segment as it stands in the request
 * @returns false for an empty segment and one that holds a dot segment
 */
export function isPlainSegment(segment: string): boolean {
  const decoded = segment
    .replace(/%2e/gi, '.')
    .replace(/%2f/gi, '/')
    .replace(/%5c/gi, '\\')
    .split(/[/\\]/);
  return segment !== '' && !decoded.some((part) => part === '.' || part === '..');
}
