/** Segment of a route that stands for any one segment. */
export const ANY_SEGMENT = '*';

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
 * Tells whether two routes match some request with the same number of literal segments, so that
 * neither is more specific.
 *
 * @param left - path of the one route
 * @param right - path of the other route
 * @returns whether the choice between them would be arbitrary
 */
export function matchEqually(left: string, right: string): boolean {
  const first = pathSegments(left);
  const second = pathSegments(right);
  const literals = (segments: readonly string[]) =>
    segments.filter((segment) => segment !== ANY_SEGMENT).length;
  return (
    first.length === second.length &&
    literals(first) === literals(second) &&
    first.every(
      (segment, index) =>
        segment === ANY_SEGMENT || second[index] === ANY_SEGMENT || segment === second[index],
    )
  );
}
