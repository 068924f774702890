#include "tool.h"

int main(int argc, char **argv)
{
	return tool_run(argc, argv, stdout, stderr);
}
