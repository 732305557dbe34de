Feature: a maintenance wave takes VMs first that callers miss least

  A wave of 66 s, of which 40 s are to be used, has VMs "off", "idle", "calm" and "busy", one of each: switched off, idle
  in a pool that has more than it needs, with runs in a pool in which no work waits, and
  in a pool in which work waits and that needs 1 VM. One VM may be down at once, and
  another VM is switched off.

  Scenario: VMs that are off go down first, then idle ones, then those of calm pools
    Given a wave with a VM of each kind
    When it has been carried out for 10 s
    Then the VMs off, idle and calm have gone down in this order

  Scenario: a VM of a pool in which work waits goes down when the time left demands it
    Given a wave with a VM of each kind
    When it has been carried out for 40 s
    Then the VM busy has gone down, between second 20 and second 37

  Scenario: a VM of a pool in which work waits goes down at once where the wave's age is unknown
    Given a wave with a VM of each kind, whose age is unknown
    When it has been carried out for 14 s
    Then the VM busy has gone down, between second 0 and second 14

  Scenario: VMs that are off are left to pools in which work waits
    Given a wave with a VM of each kind
    And a pool in which work waits needs 3 VMs
    When it has been carried out for 5 s
    Then the VMs idle and calm have gone down in this order

  Scenario: a VM whose pool gets busy while it is drained is opened again
    Given a wave with a VM of each kind
    When the VM calm is drained and work begins to wait in its pool
    Then the VM calm is open

  Scenario: VMs with lasting tasks of one pool go down early, one after another
    Guards against waves that are late because the budgets of lasting tasks let the VMs
    of a pool go down only one at a time.
    Given a wave with a VM of each kind
    And 11 more VMs with lasting tasks in the pool busy, and 9 VMs at once
    When it has been carried out for 1 s
    Then VMs of the pool busy go down before the VM off

  Scenario Outline: a wave hurries when its VMs need the time that is left
    Then <left> VMs, <at_once> at once, <hurry> with <time_left> s left

    Examples:
      | left | at_once | hurry        | time_left |
      | 22   | 9       | do not hurry | 18        |
      | 22   | 9       | hurry        | 17        |
      | 1    | 9       | do not hurry | 9         |
      | 1    | 9       | hurry        | 8         |
      | 9    | 1       | hurry        | 42        |
