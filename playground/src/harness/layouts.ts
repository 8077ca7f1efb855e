/** Layouts of the deployments (docs/design.md, section 1.2). */

export interface RegionLayout {
  name: string;
  failureDomains: string[];
}

export interface ServiceLayout {
  name: string;
  servers: number;
  /** Slots of each server. */
  slots: number;
  /** Version of the upstreams. Default `v1`. */
  version?: string;
}

export interface Layout {
  name: string;
  /** The platform is in the first region. */
  regions: [RegionLayout, RegionLayout];
  services: ServiceLayout[];
}

export const FRASERLINE: Layout = {
  name: 'fraserline',
  regions: [
    { name: 'lower-mainland', failureDomains: ['lm-a', 'lm-b'] },
    { name: 'okanagan', failureDomains: ['ok-a', 'ok-b'] },
  ],
  services: [
    { name: 'storefront', servers: 7, slots: 12 },
    { name: 'fontworks', servers: 5, slots: 12 },
  ],
};

export const FUNDACION: Layout = {
  name: 'fundacion',
  regions: [
    { name: 'guayas', failureDomains: ['gy-a', 'gy-b'] },
    { name: 'pichincha', failureDomains: ['pi-a', 'pi-b'] },
  ],
  services: [
    { name: 'sponsor-desk', servers: 6, slots: 6 },
    { name: 'upkeep-hub', servers: 5, slots: 6 },
  ],
};

/** Returns the layout with `servers` servers in each service. */
export function resize(layout: Layout, servers: number): Layout {
  return { ...layout, services: layout.services.map((service) => ({ ...service, servers })) };
}

/** Creates a layout for larger fleets that divides `servers` evenly among `services` services. */
export function createFleetLayout(servers: number, services: number): Layout {
  const names = [...Array(services).keys()];
  return {
    ...FRASERLINE,
    name: 'fleet',
    services: names.map((n) => ({
      name: `service-${n + 1}`,
      servers: Math.floor(servers / services) + (n < servers % services ? 1 : 0),
      slots: 12,
    })),
  };
}

export interface ServerPlan {
  /** Name of the node and of the upstream's server. */
  name: string;
  service: string;
  version: string;
  slots: number;
  region: string;
  failureDomain: string;
}

/** Assigns the servers round-robin to the failure domains, alternating between the regions. */
export function planServers(layout: Layout): ServerPlan[] {
  const domains = failureDomainsOf(layout);
  let next = 0;
  return layout.services.flatMap((service) =>
    [...Array(service.servers).keys()].map((n) => {
      const domain = domains[next % domains.length];
      next += 1;
      if (domain === undefined) throw new RangeError('the layout has no failure domains');
      const { name, slots, version = 'v1' } = service;
      return { name: `${name}-${n + 1}`, service: name, version, slots, ...domain };
    }),
  );
}

function failureDomainsOf(layout: Layout): { region: string; failureDomain: string }[] {
  const domainCount = Math.max(...layout.regions.map((region) => region.failureDomains.length));
  return [...Array(domainCount).keys()].flatMap((index) =>
    layout.regions.flatMap(({ name, failureDomains }) => {
      const failureDomain = failureDomains[index];
      return failureDomain === undefined ? [] : [{ region: name, failureDomain }];
    }),
  );
}
