Feature: schedule of the upkeeps of a maintenance wave

  Scenario: the wave limits how many VMs are down at once
    Given a wave of 6 VMs, 2 at once
    When upkeeps are planned and ordered
    Then 2 VMs are ordered
    When upkeeps are planned and ordered
    Then 2 VMs are ordered
    When those VMs are up again with new incarnations
    And upkeeps are planned and ordered
    Then 4 VMs are ordered

  Scenario: a VM is drained before its upkeep, until a timeout
    Given a wave of 1 VMs, 1 at once
    When a task runs on every VM
    And upkeeps are planned and ordered
    Then 0 VMs are ordered
    And the VM is closed to new runs
    When 3.1 s go by
    And upkeeps are planned and ordered
    Then 1 VMs are ordered

  Scenario: the upkeep of a VM waits while an availability budget forbids it
    Given a wave of 2 VMs, 2 at once
    When no budget allows a VM to be taken down
    And upkeeps are planned and ordered
    Then 0 VMs are ordered

  Scenario: a pool whose VMs may not be taken down is not closed to new runs altogether
    Given a wave of 3 VMs, 2 at once
    When no budget allows a VM to be taken down
    And upkeeps are planned and ordered
    Then 2 of the 3 VMs are closed to new runs
    When the budgets allow it
    And upkeeps are planned and ordered
    Then 2 VMs are ordered

  Scenario: a VM whose upkeep may still begin stays closed although the budgets forbid it now
    Given a wave of 1 VMs, 1 at once
    When the upkeep of m0 was ordered and got no answer
    And no budget allows a VM to be taken down
    And upkeeps are planned and ordered
    Then the VM is closed to new runs

  Scenario: a VM that was left open is drained before its upkeep
    Given a wave of 1 VMs, 1 at once
    When no budget allows a VM to be taken down
    And upkeeps are planned and ordered
    Then 0 of the 1 VMs are closed to new runs
    When 4 s go by
    And upkeeps are planned and ordered
    And a task runs on every VM
    And the budgets allow it
    And upkeeps are planned and ordered
    Then 0 VMs are ordered
    And the VM is closed to new runs
    When 3.1 s go by
    And upkeeps are planned and ordered
    Then 1 VMs are ordered

  Scenario: a VM that is off needs no draining and counts as down only during its upkeep
    Given a wave of 2 VMs, 1 at once
    And all VMs are off
    When upkeeps are planned and ordered
    And upkeeps are planned and ordered
    Then 1 VMs are ordered
    When 2.4 s go by
    And upkeeps are planned and ordered
    Then 2 VMs are ordered

  Scenario: VMs taken down by another scheduler count as down even if they may not be ordered
    Given a wave of 6 VMs, 2 at once
    When upkeeps are planned and ordered
    And this scheduler may not order the upkeep of those VMs
    And upkeeps are planned and ordered
    Then 2 VMs are ordered

  Scenario: a VM that is missing from the list for a short time is not treated as gone
    Given a wave of 2 VMs, 2 at once
    When upkeeps are planned and ordered
    Then 2 VMs are ordered
    Given a wave of 2 VMs, 1 at once
    When the VM list omits m1
    And upkeeps are planned and ordered
    Then the wave is not complete
    When 3 s go by and the VM list includes m1 again
    And the VM list omits m1
    And 4 s go by
    Then the wave is not complete
    When 2 s go by
    Then the wave is complete

  Scenario: an upkeep that the previous scheduler may not have ordered is ordered again
    Given a wave of 1 VMs, 1 at once
    And all VMs are off
    When the previous scheduler stored the upkeep of every VM and was killed
    And every VM joins a pool with a new incarnation
    Then the wave is not complete
    When upkeeps are planned and ordered
    Then 1 VMs are ordered
    And that order does not prove that their incarnations ended

  Scenario: an upkeep that the VM list shows counts as begun
    Given a wave of 1 VMs, 1 at once
    When the previous scheduler stored the upkeep of every VM and was killed
    And the VM list shows every VM in upkeep
    Then the wave is complete

  Scenario: an upkeep that began under the previous scheduler is not ordered again
    Given a wave of 2 VMs, 2 at once
    When the previous scheduler stored that every upkeep began, and was killed
    And every VM joins a pool with a new incarnation
    Then the wave is complete
    When upkeeps are planned and ordered
    Then 0 VMs are ordered

  Scenario: a VM whose upkeep had been done before the order counts as back after an upkeep's time
    Given a wave of 2 VMs, 1 at once
    When upkeeps are planned and ordered
    Then 1 VMs are ordered
    When 2.4 s go by
    And the list still shows the incarnation that the order was to end
    And upkeeps are planned and ordered
    Then 2 VMs are ordered
