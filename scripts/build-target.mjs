// Builds target/almondhoist.mjs, which the platform runs with the machine's Node.js installation.
// An argument replaces the directory `target`.
import { rm } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const target = process.argv[2] ?? join(root, 'target');

const undiciClient = {
  name: 'undici-client',
  setup({ onResolve }) {
    // The node with file-based settings needs more of undici, which is loaded only when it runs.
    onResolve({ filter: /^undici$/ }, ({ importer }) =>
      /[\\/](?:(?:sidecar|platform)[\\/][^\\/]+|metered-client\.ts)$/.test(importer)
        ? { path: join(root, 'scripts', 'undici-client.mjs') }
        : undefined,
    );
  },
};

await rm(target, { recursive: true, force: true });
await build({
  entryPoints: { almondhoist: join(root, 'src', 'main.ts') },
  outdir: target,
  outExtension: { '.js': '.mjs' },
  bundle: true,
  // Splitting keeps modules that a command does not use from being loaded at its start.
  splitting: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  minifySyntax: true,
  plugins: [undiciClient],
  logLevel: 'warning',
  // Bundled CommonJS libraries load built-in modules with `require`, which ES modules lack.
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
