/** Version of the binary; a test keeps it equal to package.json, which the binary lacks. */
export const VERSION = '0.1.0';
