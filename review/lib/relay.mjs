import { once } from 'node:events';
import { readFile, readdir, readlink } from 'node:fs/promises';
import { connect, createServer } from 'node:net';

/** Inode of the socket that has a connection from `localPort` to `remotePort`. */
async function findInode(localPort, remotePort) {
  const hex = (port) => port.toString(16).toUpperCase().padStart(4, '0');
  const table = await readFile('/proc/net/tcp', 'utf8');
  const line = table
    .split('\n')
    .map((text) => text.trim().split(/\s+/))
    .find(
      ([, local = '', remote = '']) =>
        local.endsWith(`:${hex(localPort)}`) && remote.endsWith(`:${hex(remotePort)}`),
    );
  return line?.[9] ?? null;
}

async function hasSocket(pid, inode) {
  const folder = `/proc/${pid}/fd`;
  const files = await readdir(folder).catch(() => []);
  // A file may be closed while the others are read.
  const links = await Promise.all(files.map((fd) => readlink(`${folder}/${fd}`).catch(() => '')));
  return links.includes(`socket:[${inode}]`);
}

/** Relays before the peer ports of the machines, which can cut one machine off from all others. */
export class Network {
  #machines = [];

  #cutMachine = null;

  /** Each relayed connection with both machines. */
  #links = new Set();

  #servers = [];

  async open({ from, to, machine }) {
    this.#machines.push(machine);
    const server = createServer({ allowHalfOpen: true }, (incoming) =>
      this.#accept(incoming, machine, to),
    );
    this.#servers.push(server);
    server.listen(from.port, from.host);
    await once(server, 'listening');
    return { close: () => this.close() };
  }

  /** Drops everything between a machine and the others, on new connections too, until `heal`. */
  cut(machine) {
    this.#cutMachine = machine;
    this.#links.forEach((link) => {
      if (this.#isCut(link)) link.sockets.forEach((socket) => socket.pause());
    });
  }

  /** Relays new connections again; those that were cut are reset. */
  heal() {
    this.#links.forEach((link) => {
      if (this.#isCut(link)) link.sockets.forEach((socket) => socket.resetAndDestroy());
    });
    this.#cutMachine = null;
  }

  close() {
    this.#servers.forEach((server) => server.close());
    this.#links.forEach(({ sockets }) => sockets.forEach((socket) => socket.destroy()));
  }

  #isCut({ ends }) {
    return this.#cutMachine !== null && ends.includes(this.#cutMachine);
  }

  async #accept(incoming, target, to) {
    incoming.on('error', () => {});
    const inode = await findInode(incoming.remotePort, incoming.localPort);
    const owns = await Promise.all(this.#machines.map(({ pid }) => hasSocket(pid, inode)));
    const source = this.#machines[owns.indexOf(true)] ?? null;
    const link = { ends: [source, target], sockets: [incoming] };
    this.#links.add(link);
    incoming.once('close', () => this.#links.delete(link));
    if (this.#isCut(link)) return;
    const outgoing = connect(to);
    outgoing.on('error', () => {});
    link.sockets.push(outgoing);
    this.#pipe(link, incoming, outgoing);
    this.#pipe(link, outgoing, incoming);
  }

  #pipe(link, from, to) {
    from.on('data', (chunk) => {
      if (!to.write(chunk)) from.pause();
    });
    to.on('drain', () => {
      if (!this.#isCut(link)) from.resume();
    });
    from.on('end', () => to.end());
    from.once('close', () => to.destroy());
  }
}
