// Most gateways are killed within half a minute, up to 30 % at a time, and restart with only their last endpoint list.
local deployment = import 'lib/deployment.libsonnet';

function(gateways=8, hosts=24, load=0.5, length=60, share=0.89, at_a_time=0.3, at=10, span=[14, 29]) {
  title: 'Gateways restart in waves',
  about: |||
    Most gateways are killed within half a minute, up to 30 % at a time, and come back with nothing but their last list.
  |||,
  world: deployment.sized(gateways, hosts, load, length) + {
    faults: [{
      at_s: at,
      for_s: span,
      gateways_killed: { share: share, at_a_time: at_a_time, down_s: [0.2, 1.5] },
    }],
  },
}
