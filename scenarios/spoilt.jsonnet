// Some hosts answer a share of their requests with errors, and do so immediately.
local deployment = import 'lib/deployment.libsonnet';

function(gateways=2, hosts=12, load=0.5, length=40, part=0.6) {
  title: 'Spoilt answers',
  about: |||
    A part of some hosts' answers are errors, and come at once.
  |||,
  world: deployment.sized(gateways, hosts, load, length) + {
    faults: [{ at_s: 10, for_s: 15, spoilt: { hosts: { share: 0.18 }, part: part } }],
  },
}
