Feature: which VM of a wave has its upkeep when

  Scenario: at most as many as the wave allows are down at once
    Given a wave of 6 VMs, 2 at once
    When upkeeps are planned and ordered
    Then 2 VMs are ordered
    When upkeeps are planned and ordered
    Then 2 VMs are ordered
    When those VMs are up again with new lives
    And upkeeps are planned and ordered
    Then 4 VMs are ordered

  Scenario: a VM drains its tasks first, but not for ever
    Given a wave of 1 VMs, 1 at once
    When a task runs on every VM
    And upkeeps are planned and ordered
    Then 0 VMs are ordered
    And the VM is closed to new runs
    When 3.1 s go by
    And upkeeps are planned and ordered
    Then 1 VMs are ordered

  Scenario: a VM whose end would break a budget waits
    Given a wave of 2 VMs, 2 at once
    When no budget allows an end
    And upkeeps are planned and ordered
    Then 0 VMs are ordered

  Scenario: a VM that is off needs no draining and counts as down for its time only
    Given a wave of 2 VMs, 1 at once
    And all VMs are off
    When upkeeps are planned and ordered
    And upkeeps are planned and ordered
    Then 1 VMs are ordered
    When 2.4 s go by
    And upkeeps are planned and ordered
    Then 2 VMs are ordered

  Scenario: VMs that another scheduler took down count, though they may not be ordered
    Given a wave of 6 VMs, 2 at once
    When upkeeps are planned and ordered
    And those VMs may not be ordered by this scheduler
    And upkeeps are planned and ordered
    Then 2 VMs are ordered

  Scenario: a VM that one reading of the list lacks is not taken as gone
    Given a wave of 2 VMs, 2 at once
    When upkeeps are planned and ordered
    Then 2 VMs are ordered
    Given a wave of 2 VMs, 1 at once
    When the list lacks the VM m1
    And upkeeps are planned and ordered
    Then the wave is not complete
    When 3 s go by and the list has the VM m1 again
    And the list lacks the VM m1
    And 4 s go by
    Then the wave is not complete
    When 2 s go by
    Then the wave is complete

  Scenario: an upkeep that the last scheduler may not have sent is ordered again
    Given a wave of 1 VMs, 1 at once
    And all VMs are off
    When the last scheduler stored the upkeep of every VM and was killed
    And every VM joins a pool with a new life
    Then the wave is not complete
    When upkeeps are planned and ordered
    Then 1 VMs are ordered
    And their lives are not taken as ended by that alone

  Scenario: an upkeep that the list shows has begun
    Given a wave of 1 VMs, 1 at once
    When the last scheduler stored the upkeep of every VM and was killed
    And every VM is shown in upkeep
    Then the wave is complete

  Scenario: an upkeep that began under the last scheduler is not ordered again
    Given a wave of 2 VMs, 2 at once
    When the last scheduler stored that every upkeep began, and was killed
    And every VM joins a pool with a new life
    Then the wave is complete
    When upkeeps are planned and ordered
    Then 0 VMs are ordered
