/** Version of the program; the binary has no package.json, and a test checks that both agree. */
export const VERSION = '0.1.0';
