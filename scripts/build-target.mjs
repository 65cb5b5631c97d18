// Builds target/almondhoist.mjs, which the platform runs with the Node.js of the machine.
import { rm } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const target = join(root, 'target');

const undiciClient = {
  name: 'undici-client',
  setup({ onResolve }) {
    // The node for file sets uses more of the library; it is loaded only when it runs.
    onResolve({ filter: /^undici$/ }, ({ importer }) =>
      /[\\/](?:sidecar|platform)[\\/][^\\/]+$/.test(importer)
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
  // Parts that a command does not use are not even read at its start.
  splitting: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  minifySyntax: true,
  plugins: [undiciClient],
  logLevel: 'warning',
  // Some libraries are CommonJS and ask for built-in modules with `require`.
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
