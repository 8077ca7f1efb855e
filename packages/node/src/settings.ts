/**
 * Settings of a node, in YAML. All problems are reported at once with path and line; a node does
 * not start with invalid settings.
 */

import * as fs from 'node:fs/promises';
import * as net from 'node:net';
import * as z from 'zod';
import { failures, ids, problems, resources, units } from '@godwittrack/core';

/** `ip:port` with a literal IP address. */
const socketAddress = z.string().refine((text) => {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3]);
  return net.isIP(host) !== 0 && port > 0 && port <= 65_535;
}, 'must be an IP address and a port, such as 10.0.0.4:8201');

const settingsSchema = z
  .strictObject({
    node: resources.resourceName,
    region: resources.resourceName,
    failureDomain: resources.resourceName,
    /** Region in which the platform runs. */
    homeRegion: resources.resourceName,
    platform: z.strictObject({
      url: z.url({ protocol: /^https?$/, error: 'must be an http or https URL' }),
      /** Time for one call to the platform other than a watch. */
      timeout: units.durationMs().default(2_000),
    }),
    listen: z.strictObject({
      caller: socketAddress,
      peer: socketAddress,
      admin: socketAddress,
    }),
    /** Addresses published to other nodes; the listen addresses by default. */
    advertise: z
      .strictObject({
        peer: socketAddress.optional(),
        /** Peer address for nodes of other regions. */
        externalPeer: socketAddress.optional(),
        admin: socketAddress.optional(),
      })
      .prefault({}),
    /** Peer addresses that a starting node asks for members and for the version floor. */
    seeds: z.array(socketAddress).default([]),
    limits: z
      .strictObject({
        maxBodySize: units.sizeBytes().default(8 * 1024 * 1024),
        maxHeaderSize: units.sizeBytes().default(16 * 1024),
      })
      .prefault({}),
    /** Time that a planned stop leaves for requests in flight. */
    drainTime: units.durationMs().default(10_000),
    log: z
      .strictObject({
        level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
      })
      .prefault({}),
  })
  .superRefine((settings, ctx) => {
    const { caller, peer, admin } = settings.listen;
    if (new Set([caller, peer, admin]).size < 3) {
      const message = 'caller, peer and admin must be three different addresses';
      ctx.addIssue({ code: 'custom', path: ['listen'], message });
    }
    if (settings.seeds.includes(settings.advertise.peer ?? peer)) {
      const message = "names this node's own peer address";
      ctx.addIssue({ code: 'custom', path: ['seeds'], message });
    }
  });

export type SettingsInput = z.input<typeof settingsSchema>;

/** Checked settings with every default filled in. */
export interface ResolvedSettings {
  node: ids.NodeId;
  region: ids.RegionName;
  failureDomain: ids.DomainName;
  homeRegion: ids.RegionName;
  platform: { url: string; timeoutMs: number };
  listen: { caller: string; peer: string; admin: string };
  advertise: { peer: string; externalPeer: string; admin: string };
  seeds: string[];
  limits: { maxBodyBytes: number; maxHeaderBytes: number };
  drainTimeMs: number;
  logLevel: string;
}

/**
 * Checks decoded settings and fills in the defaults.
 * @throws invalidSettings with every problem found
 */
export function resolveSettings(
  input: unknown,
  locate: problems.LineLocator = () => undefined,
): ResolvedSettings {
  const checked = settingsSchema.safeParse(input);
  if (!checked.success) {
    const found = problems.fromZod(checked.error, locate);
    throw failures.toError({ type: 'invalidSettings', problems: found });
  }
  const { data } = checked;
  const peer = data.advertise.peer ?? data.listen.peer;
  return {
    node: ids.nodeId(data.node),
    region: ids.regionName(data.region),
    failureDomain: ids.domainName(data.failureDomain),
    homeRegion: ids.regionName(data.homeRegion),
    platform: { url: data.platform.url, timeoutMs: data.platform.timeout },
    listen: data.listen,
    advertise: {
      peer,
      externalPeer: data.advertise.externalPeer ?? peer,
      admin: data.advertise.admin ?? data.listen.admin,
    },
    seeds: data.seeds,
    limits: { maxBodyBytes: data.limits.maxBodySize, maxHeaderBytes: data.limits.maxHeaderSize },
    drainTimeMs: data.drainTime,
    logLevel: data.log.level,
  };
}

/** Checks settings in YAML text. @throws invalidSettings */
export function parseSettings(text: string): ResolvedSettings {
  const source = problems.parseYaml(text);
  if (source.problems.length > 0) {
    throw failures.toError({ type: 'invalidSettings', problems: source.problems });
  }
  return resolveSettings(source.value, source.locate);
}

/** Reads and checks a settings file. @throws invalidSettings */
export async function loadSettings(path: string): Promise<ResolvedSettings> {
  let text: string;
  try {
    text = await fs.readFile(path, 'utf8');
  } catch (err) {
    const message = `cannot be read: ${err instanceof Error ? err.message : String(err)}`;
    throw failures.toError({ type: 'invalidSettings', problems: [{ path, message }] }, err);
  }
  return parseSettings(text);
}

/** Splits `ip:port` into its parts. */
export function splitAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(':');
  const host = address.slice(0, at).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(at + 1)) };
}
