/** Settings files of nodes (docs/design.md, section 3.11). */

import * as yaml from 'yaml';

export interface NodeSettings {
  node: string;
  region: string;
  failureDomain: string;
  homeRegion: string;
  platform: { url: string; timeout?: string };
  listen: { caller: string; peer: string; admin: string };
  advertise?: { peer?: string; externalPeer?: string; admin?: string };
  seeds?: string[];
  limits?: { maxBodySize?: string; maxHeaderSize?: string };
  drainTime?: string;
  log?: { level?: string };
}

export function formatSettings(settings: NodeSettings): string {
  return yaml.stringify(settings, { aliasDuplicateObjects: false });
}
