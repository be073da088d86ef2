// A host rejects every request at once, so that by its number of requests in flight it looks like the least loaded one.
local deployment = import 'lib/deployment.libsonnet';

function(gateways=2, hosts=12, load=0.5, length=40) {
  title: 'Hosts that turn everything away',
  about: |||
    A host turns everything away, at once: to a gateway that counts what is out it looks like the emptiest one.
  |||,
  world: deployment.sized(gateways, hosts, load, length) + {
    faults: [{ at_s: 10, for_s: 12, refusing: { hosts: { count: 1, primaries: 0 } } }],
  },
}
