Feature: VMs follow the work that arrives

  Scenario: a pool that is short takes VMs that are off, then idle ones of other pools
    Given pools "a" that needs 4 of 2 VMs, "b" that needs 1 of 3 VMs and 1 VM that is off
    Then the moves to "a" are the VM that is off and one idle VM of "b"

  Scenario: VMs on their way are counted
    Given pools "a" that needs 4 of 2 VMs, "b" that needs 1 of 3 VMs and 1 VM that is off
    When the moves are ordered
    Then no more moves are planned

  Scenario: a VM that stood idle for a while is switched off, but each pool keeps two
    Given pools "a" that needs 0 of 4 VMs, "b" that needs 2 of 2 VMs and 0 VM that is off
    Then no more moves are planned
    When 4 s have passed
    Then 2 VMs of "a" are switched off

  Scenario: a VM on which something runs never moves
    Given pools "a" that needs 9 of 2 VMs, "b" that needs 0 of 3 VMs and 0 VM that is off
    When something runs on every VM of "b"
    Then no more moves are planned

  Scenario: a VM due for upkeep stays
    Given pools "a" that needs 3 of 2 VMs, "b" that needs 1 of 1 VMs and 1 VM that is off
    When the VM that is off is due for upkeep
    Then no more moves are planned

  Scenario: a move that was refused is not tried again at once
    Given pools "a" that needs 3 of 2 VMs, "b" that needs 1 of 1 VMs and 1 VM that is off
    When the moves are refused
    Then no more moves are planned
    When 6 s have passed
    Then 1 moves are planned

  Scenario: a burst is seen within its first second and forgotten soon after
    Given work of 16 core-seconds arrives in each of 6 steps of 250 ms
    Then the demand is 64 cores at its end
    And the demand is 0 cores 2 s later

  Scenario: a burst that has just begun is seen whole
    Given work of 16 core-seconds arrives in each of 2 steps of 250 ms
    Then the demand is 64 cores at its end
