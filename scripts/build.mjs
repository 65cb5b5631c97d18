// Builds dist/js (all programs) and dist/almondhoist (a single executable that includes Node.js).
// With --binary it does not touch dist/js, so that tests that run from there can build the binary.
import { execFile } from 'node:child_process';
import {
  chmod,
  copyFile,
  mkdir,
  readdir,
  readFile,
  rename,
  rm,
  stat,
  writeFile,
} from 'node:fs/promises';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { build } from 'esbuild';
import { inject } from 'postject';

const run = promisify(execFile);
const root = dirname(dirname(fileURLToPath(import.meta.url)));
const binary = join(root, 'dist', 'almondhoist');
const compiled = join(root, 'dist', 'js', 'src', 'main.js');
const workDirectory = join(root, 'dist', 'sea');

const BUILD_INPUTS = ['package.json', 'package-lock.json', 'tsconfig.json', 'scripts/build.mjs'];
const BINARY_SOURCES = ['src', 'platform', ...BUILD_INPUTS];
const COMPILED_SOURCES = ['standin', 'demo', 'bench', 'soak', 'test', ...BINARY_SOURCES];

/** Sentinel from the Node.js documentation; postject changes it to enable the injected blob. */
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

async function newestChangeMs(path) {
  const info = await stat(path).catch(() => null);
  if (info === null) {
    return 0;
  }
  if (!info.isDirectory()) {
    return info.mtimeMs;
  }
  const names = await readdir(path);
  // The directory's own modification time reveals removed files.
  const times = await Promise.all(names.map((name) => newestChangeMs(join(path, name))));
  return Math.max(info.mtimeMs, ...times);
}

async function isCurrent(output, sources) {
  const built = await stat(output).catch(() => null);
  const times = await Promise.all(sources.map((source) => newestChangeMs(join(root, source))));
  return built !== null && built.mtimeMs > Math.max(...times);
}

async function compile() {
  await rm(join(root, 'dist', 'js'), { recursive: true, force: true });
  await run(process.execPath, [join(root, 'node_modules/typescript/bin/tsc'), '-p', root]);
}

async function buildBinary() {
  await mkdir(workDirectory, { recursive: true });
  const bundle = join(workDirectory, 'main.cjs');
  const blob = join(workDirectory, 'main.blob');
  const config = join(workDirectory, 'sea.json');
  const temporaryBinary = join(workDirectory, 'almondhoist');
  await build({
    entryPoints: [join(root, 'src', 'main.ts')],
    outfile: bundle,
    bundle: true,
    format: 'cjs',
    platform: 'node',
    target: 'node20',
    logLevel: 'warning',
  });
  const options = { main: bundle, output: blob, disableExperimentalSEAWarning: true };
  await writeFile(config, JSON.stringify(options));
  await run(process.execPath, ['--experimental-sea-config', config]);
  await copyFile(process.execPath, temporaryBinary);
  await chmod(temporaryBinary, 0o755);
  await inject(temporaryBinary, 'NODE_SEA_BLOB', await readFile(blob), { sentinelFuse: SEA_FUSE });
  // An atomic rename leaves running binaries intact and never exposes a partial file.
  await rename(temporaryBinary, binary);
}

async function main() {
  const isBinaryOnly = process.argv.includes('--binary');
  if (!isBinaryOnly && !(await isCurrent(compiled, COMPILED_SOURCES))) {
    await compile();
    console.log('compiled dist/js');
  }
  if (!(await isCurrent(binary, BINARY_SOURCES))) {
    await buildBinary();
    console.log('built dist/almondhoist');
  }
}

main().catch((error) => {
  // tsc prints its errors to standard output.
  console.error(error.stdout ?? '', error.stderr ?? '', error.message);
  process.exitCode = 1;
});
