// A primary hangs with writes in flight, is replaced, and comes back as a replica that still holds those writes.
local deployment = import 'lib/deployment.libsonnet';

function(gateways=2, hosts=12, load=0.5, length=40, hangs=[4, 9]) {
  title: 'A primary hangs and comes back',
  about: |||
    A primary hangs with writes in its hands, is replaced, and comes back as a replica that still holds them.
  |||,
  world: deployment.sized(gateways, hosts, load, length) + {
    faults: [{
      at_s: 12,
      for_s: hangs,
      silent: { hang: true, hosts: { count: 1, primaries: 1 } },
    }],
  },
}
