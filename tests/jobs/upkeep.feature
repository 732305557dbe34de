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
