package cicadacommand

import (
	"context"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"cicadalink.example/cicadactl/cicadaexplain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show from log files what was decided about a request, a job or an item",
		ArgsUsage: "ID LOGFILE...",
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() < 2 {
				return merry.Errorf("explain: have %d arguments, expected an ID and at least one log file", cmd.Args().Len())
			}
			timeline, err := cicadaexplain.Read(cmd.Args().First(), cmd.Args().Tail()...)
			if err != nil {
				return merry.Errorf("explain: %w", err)
			}
			return timeline.Write(cmd.Root().Writer)
		},
	}
}
