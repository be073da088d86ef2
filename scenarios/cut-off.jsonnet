// Some gateways cannot reach some hosts, which are healthy and serve the other gateways.
local deployment = import 'lib/deployment.libsonnet';

function(gateways=4, hosts=12, load=0.5, length=40) {
  title: 'Hosts cut off from some gateways',
  about: |||
    Some gateways do not reach some hosts, which are well and serve the others.
  |||,
  world: deployment.sized(gateways, hosts, load, length) + {
    faults: [{ at_s: 10, for_s: 12, cut_off: { hosts: { share: 0.25, primaries: 0.5 }, gateways: 0.5 } }],
  },
}
